/**
 * How fast all stores' links are now, by what first events show on all hosts.
 *
 * A store that has turned slow is slow on each of its links, a pair of places on its own
 * link only. So each link is judged by its own transfers, drawn towards what all links of
 * its store show while it has few.
 */
import { addLinkLoads, IDLE_LINK, storeOfLink, type LinkLoadFigures } from '../load/linkLoad.js'
import { LinkSpeed, SpeedSamples, type SpeedEvidence } from './LinkSpeed.js'

/**
 * Milliseconds by which a first event may be late for other reasons than its transfer, and
 * the share of its other time by which it may be so besides. Added to both sides of the
 * comparison: short transfers say little, and so do all while engines are overloaded.
 */
const OTHER_REASONS_MS = 30
const OTHER_REASONS_SHARE = 0.15

/** Samples by which all links of a store speak for one of them. */
const STORE_SAMPLES = 2

/** Doublings from which a link counts as slow, and below which it counts as sound again. */
const SLOW_DOUBLINGS = 1
const SOUND_DOUBLINGS = 0.5

/** What was expected of a fetch when its engine was chosen. */
export interface ExpectedFetch {
  /** Until its last byte, waiting included. */
  readonly fetchMs: number
  /** Until the first event, without the fetch. */
  readonly otherMs: number
  /** Doublings of the link's stated time that were believed. */
  readonly doublings: number
}

/** A change of belief about one link. */
export interface LinkSpeedChange {
  readonly link: string
  readonly isSlow: boolean
  /** Times that a transfer takes of what the site states. */
  readonly slowerBy: number
  /** Transfers of all hosts that tell so, older ones counting less. */
  readonly samples: number
}

/** What transfers of one host over a link have shown. */
type LinkSamples = Omit<LinkLoadFigures, 'pendingBytes'>

/** Speeds of links by their names. */
export class LinkSpeeds {
  readonly #samples = new Map<string, SpeedSamples>()
  /** Of links, and of stores over all their links. */
  readonly #speeds = new Map<string, LinkSpeed>()
  readonly #slow = new Set<string>()

  /** Links over which transfers of this host have shown something. */
  get sampled (): readonly string[] { return [...this.#samples.keys()] }

  /**
   * @param link - name of a link
   * @param now - monotonic milliseconds
   * @returns doublings of the time that the site states
   */
  doublings (link: string, now: number): number {
    const speed = this.#speeds.get(link) ?? this.#speeds.get(storeOfLink(link))
    return speed?.doublings(now) ?? 0
  }

  /**
   * Takes what a first event says of the link that its prompt came over.
   *
   * @param link - the slowest of those
   * @param expected - as estimated
   * @param firstEventMs - milliseconds that the first event took
   * @param now - monotonic milliseconds
   */
  observe (link: string, expected: ExpectedFetch, firstEventMs: number, now: number): void {
    const doubtMs = OTHER_REASONS_MS + expected.otherMs * OTHER_REASONS_SHARE
    const ratio = (Math.max(0, firstEventMs - expected.otherMs) + doubtMs) / (expected.fetchMs + doubtMs)
    const samples = this.#samples.get(link) ?? new SpeedSamples()
    this.#samples.set(link, samples)
    samples.add(expected.doublings + Math.log2(ratio), now)
  }

  /**
   * @param link - name of a link
   * @param now - monotonic milliseconds
   * @returns what this host's transfers have shown lately
   */
  recent (link: string, now: number): LinkSamples {
    return this.#samples.get(link)?.recent(now) ?? { samples: 0, slower: 0, faster: 0 }
  }

  /**
   * Follows what the transfers of all hosts show.
   *
   * @param others - figures of the other hosts by link
   * @param now - monotonic milliseconds
   * @returns links that are believed to be slow, or sound again, from now on
   */
  learn (others: ReadonlyMap<string, LinkLoadFigures>, now: number): LinkSpeedChange[] {
    const links = new Set([...this.#samples.keys(), ...others.keys()])
    const evidence = new Map([...links].map(link => [link, this.#evidenceOf(link, others.get(link), now)]))
    const stores = sumByStore(evidence)
    for (const [store, sum] of stores) this.#speed(store, now).learn(sum, now)
    return [...evidence].flatMap(([link, shown]) => {
      this.#speed(link, now).learn(drawnTowards(shown, stores.get(storeOfLink(link)) ?? shown), now)
      return this.#changeOf(link, shown.samples, now)
    })
  }

  #evidenceOf (link: string, others: LinkLoadFigures = IDLE_LINK, now: number): SpeedEvidence {
    const { samples, slower, faster } = addLinkLoads({ ...IDLE_LINK, ...this.recent(link, now) }, others)
    return { samples, doublings: slower - faster }
  }

  #speed (name: string, now: number): LinkSpeed {
    const present = this.#speeds.get(name)
    if (present !== undefined) return present
    const fresh = new LinkSpeed(this.doublings(name, now), now)
    this.#speeds.set(name, fresh)
    return fresh
  }

  #changeOf (link: string, samples: number, now: number): LinkSpeedChange[] {
    const doublings = this.#speed(link, now).doublings(now)
    const wasSlow = this.#slow.has(link)
    const isSlow = doublings > (wasSlow ? SOUND_DOUBLINGS : SLOW_DOUBLINGS)
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

/** What a link's own samples say, with some of what all links of its store say. */
function drawnTowards (link: SpeedEvidence, store: SpeedEvidence): SpeedEvidence {
  if (store.samples === 0) return link
  const borrowed = Math.min(STORE_SAMPLES, store.samples)
  return {
    samples: link.samples + borrowed,
    doublings: link.doublings + store.doublings / store.samples * borrowed
  }
}
