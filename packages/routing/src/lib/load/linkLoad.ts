/** What entry hosts tell of the links over which stores send kept prompts. */

/** Transfers of one or all hosts over one link, and what they have shown of its speed. */
export interface LinkLoad extends LinkLoadFigures {
  /** Store and data centre that the link joins, see {@link linkName}. */
  readonly link: string
}

/** Figures of a link. */
export interface LinkLoadFigures {
  /** Bytes that engines were told to fetch and that have not shown by a first event. */
  readonly pendingBytes: number
  /** Transfers that ended lately; older ones count less. */
  readonly samples: number
  /** Over those, by how many doublings they took longer than at the link's stated speed. */
  readonly slower: number
  /** Likewise, by how many doublings they took less. */
  readonly faster: number
}

/** A link of which nothing is known. */
export const IDLE_LINK: LinkLoadFigures = { pendingBytes: 0, samples: 0, slower: 0, faster: 0 }

/** Between store and data centre; a store's name may hold it as well. */
const SEPARATOR = '>'

/**
 * @param store - store name
 * @param dataCentre - where the engines stand
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
 * @returns both together
 */
export function addLinkLoads (one: LinkLoadFigures, other: LinkLoadFigures): LinkLoadFigures {
  return {
    pendingBytes: one.pendingBytes + other.pendingBytes,
    samples: one.samples + other.samples,
    slower: one.slower + other.slower,
    faster: one.faster + other.faster
  }
}
