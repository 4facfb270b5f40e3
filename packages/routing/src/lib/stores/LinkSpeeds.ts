/**
 * Estimates the current speed of all store links from the first events that all hosts observe.
 *
 * A slow store is slow on each of its links, and a slow connection between two data centres
 * affects only its own link. Each link is therefore judged by its own transfers and, as long as it
 * has few samples, shrunk towards the observations of all links of its store.
 */
import { addLinkLoads, IDLE_LINK, storeOfLink, type LinkLoadFigures } from '../load/linkLoad.js'
import { LinkSpeed, SpeedSamples, type SpeedEvidence } from './LinkSpeed.js'

/**
 * Delay of a first event that may have other reasons than its transfer: a fixed time in
 * milliseconds, plus a share of the expected time without the transfer. It is added to both sides
 * of the comparison, so that short transfers, and all transfers while engines are overloaded,
 * influence the estimate little.
 */
const UNRELATED_DELAY_MS = 30
const UNRELATED_DELAY_SHARE = 0.15

/** Maximum weight of a store's links in the estimate of one of them, in samples. */
const MAX_STORE_SAMPLES = 2

/** Doublings above which a link counts as slow, and up to which it counts as recovered. */
const SLOW_DOUBLINGS = 1
const RECOVERED_DOUBLINGS = 0.5

/** Expectation of a fetch at the time when its engine was chosen. */
export interface ExpectedFetch {
  /** Milliseconds until the last byte of the fetch, including the time that it waits. */
  readonly fetchMs: number
  /** Milliseconds until the first event, without the fetch. */
  readonly otherMs: number
  /** Estimated slowdown of the link in doublings. */
  readonly doublings: number
}

/** A change in whether a link counts as slow. */
export interface LinkSpeedChange {
  readonly link: string
  readonly isSlow: boolean
  /** Duration of a transfer as a multiple of what the site states. */
  readonly slowerBy: number
  /** Decaying count of the transfers of all hosts that the estimate is based on. */
  readonly samples: number
}

/** Observations of one host's transfers over a link. */
type LinkSamples = Omit<LinkLoadFigures, 'pendingBytes'>

/** Estimated speeds of links by name. */
export class LinkSpeeds {
  readonly #samples = new Map<string, SpeedSamples>()
  /** Estimates by link name, and by store name for all links of a store. */
  readonly #speeds = new Map<string, LinkSpeed>()
  readonly #slow = new Set<string>()

  /** Links with samples from this host's transfers. */
  get sampledLinks (): readonly string[] { return [...this.#samples.keys()] }

  /**
   * @param link - name of a link
   * @param now - monotonic milliseconds
   * @returns estimated slowdown in doublings
   */
  doublings (link: string, now: number): number {
    const speed = this.#speeds.get(link) ?? this.#speeds.get(storeOfLink(link))
    return speed?.doublings(now) ?? 0
  }

  /**
   * Records a first event as a sample of the link over which its prompt was fetched.
   *
   * @param link - slowest link of the fetch
   * @param expected - expectation at the time of the choice
   * @param firstEventMs - milliseconds that the first event took
   * @param now - monotonic milliseconds
   */
  observe (link: string, expected: ExpectedFetch, firstEventMs: number, now: number): void {
    const toleranceMs = UNRELATED_DELAY_MS + expected.otherMs * UNRELATED_DELAY_SHARE
    const ratio = (Math.max(0, firstEventMs - expected.otherMs) + toleranceMs) / (expected.fetchMs + toleranceMs)
    const samples = this.#samples.get(link) ?? new SpeedSamples()
    this.#samples.set(link, samples)
    samples.add(expected.doublings + Math.log2(ratio), now)
  }

  /**
   * @param link - name of a link
   * @param now - monotonic milliseconds
   * @returns recent observations of this host's transfers
   */
  recent (link: string, now: number): LinkSamples {
    return this.#samples.get(link)?.recent(now) ?? { samples: 0, slower: 0, faster: 0 }
  }

  /**
   * Updates the estimates from the observations of all hosts.
   *
   * @param peers - figures of the other hosts by link
   * @param now - monotonic milliseconds
   * @returns links that count as slow, or as recovered, from now on
   */
  update (peers: ReadonlyMap<string, LinkLoadFigures>, now: number): LinkSpeedChange[] {
    const links = new Set([...this.#samples.keys(), ...peers.keys()])
    const evidence = new Map([...links].map(link => [link, this.#evidenceOf(link, peers.get(link), now)]))
    const stores = sumByStore(evidence)
    for (const [store, sum] of stores) this.#speedOf(store, now).update(sum, now)
    return [...evidence].flatMap(([link, observed]) => {
      this.#speedOf(link, now).update(shrinkTowards(observed, stores.get(storeOfLink(link)) ?? observed), now)
      return this.#changeOf(link, observed.samples, now)
    })
  }

  #evidenceOf (link: string, peers: LinkLoadFigures = IDLE_LINK, now: number): SpeedEvidence {
    const { samples, slower, faster } = addLinkLoads({ ...IDLE_LINK, ...this.recent(link, now) }, peers)
    return { samples, doublings: slower - faster }
  }

  #speedOf (name: string, now: number): LinkSpeed {
    const existing = this.#speeds.get(name)
    if (existing !== undefined) return existing
    const created = new LinkSpeed(this.doublings(name, now), now)
    this.#speeds.set(name, created)
    return created
  }

  #changeOf (link: string, samples: number, now: number): LinkSpeedChange[] {
    const doublings = this.#speedOf(link, now).doublings(now)
    const wasSlow = this.#slow.has(link)
    const isSlow = doublings > (wasSlow ? RECOVERED_DOUBLINGS : SLOW_DOUBLINGS)
    if (isSlow === wasSlow) return []
    if (isSlow) this.#slow.add(link)
    else this.#slow.delete(link)
    return [{ link, isSlow, slowerBy: 2 ** doublings, samples }]
  }
}

function sumByStore (evidence: ReadonlyMap<string, SpeedEvidence>): Map<string, SpeedEvidence> {
  const sums = new Map<string, SpeedEvidence>()
  for (const [link, { samples, doublings }] of evidence) {
    const sum = sums.get(storeOfLink(link)) ?? { samples: 0, doublings: 0 }
    sums.set(storeOfLink(link), { samples: sum.samples + samples, doublings: sum.doublings + doublings })
  }
  return sums
}

/** Combines a link's own samples with a limited weight of the samples of all links of its store. */
function shrinkTowards (link: SpeedEvidence, store: SpeedEvidence): SpeedEvidence {
  if (store.samples === 0) return link
  const borrowed = Math.min(MAX_STORE_SAMPLES, store.samples)
  return {
    samples: link.samples + borrowed,
    doublings: link.doublings + store.doublings / store.samples * borrowed
  }
}
