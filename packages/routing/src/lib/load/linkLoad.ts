/** The load that entry hosts report of the links over which stores send prompt parts. */

/** Transfers of one or all hosts over one link, with the speed that they observed. */
export interface LinkLoad extends LinkLoadFigures {
  /** Store and data centre that the link connects, see {@link linkName}. */
  readonly link: string
}

/** Figures of a link. */
export interface LinkLoadFigures {
  /** Bytes that engines were told to fetch, for requests that have had no first event yet. */
  readonly pendingBytes: number
  /** Decaying count of transfers that have ended. */
  readonly samples: number
  /** Sum over the samples of log2 of the slowdown against the link's configured speed, where positive. */
  readonly slower: number
  /** Sum over the samples of log2 of the speedup against the link's configured speed, where positive. */
  readonly faster: number
}

/** Figures of a link without transfers or observations. */
export const IDLE_LINK: LinkLoadFigures = { pendingBytes: 0, samples: 0, slower: 0, faster: 0 }

/** Separates store and data centre; the store's name may contain it as well. */
const SEPARATOR = '>'

/**
 * @param store - store name
 * @param dataCentre - data centre of the engines
 * @returns name of the link
 */
export function linkName (store: string, dataCentre: string): string {
  return `${store}${SEPARATOR}${dataCentre}`
}

/**
 * @param link - name of a link
 * @returns name of its store
 */
export function storeOfLink (link: string): string {
  return link.includes(SEPARATOR) ? link.slice(0, link.lastIndexOf(SEPARATOR)) : link
}

/**
 * @param one - figures
 * @param other - figures of the same link
 * @returns the sum of both
 */
export function addLinkLoads (one: LinkLoadFigures, other: LinkLoadFigures): LinkLoadFigures {
  return {
    pendingBytes: one.pendingBytes + other.pendingBytes,
    samples: one.samples + other.samples,
    slower: one.slower + other.slower,
    faster: one.faster + other.faster
  }
}
