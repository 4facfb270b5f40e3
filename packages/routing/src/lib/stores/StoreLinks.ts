/**
 * Links of stores: what is under way on them, and how fast they are now.
 *
 * Answers the load in which prompts return faster than their store can send them.
 * Transfers run one after another on a store's link and take twice as long to another
 * data centre. Hosts tell each other what they have asked for and what it took
 * ({@link LinkWork}), so that each counts the transfers of all and a link that turns slow is
 * known to all hosts after some ten transfers of theirs together.
 */
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { addLinks, IDLE_LINK, linkName, storeOfLink, type LinkFigures, type LinkWork } from '../load/linkWork.js'
import { LinkSpeed, SpeedSamples, type SpeedEvidence } from './LinkSpeed.js'

const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1e6
const MILLISECONDS_PER_SECOND = 1000

/** How much longer a transfer to another data centre takes; the users' sheets say twice. */
const OTHER_DATA_CENTRE_FACTOR = 2

/** Longest wait of a transfer, in milliseconds: engines don't start one that would wait longer. */
const LONGEST_WAIT_MS = 2000

/** Age up to which the others' transfers are counted as last heard, in milliseconds; as for their other work. */
const OTHERS_LIFETIME_MS = 400

/**
 * Milliseconds by which a first event may be late for other reasons than its transfer, and
 * the share of its other time by which it may be so besides. Added to both sides of the
 * comparison: short transfers say little, and so do all while engines are overloaded.
 */
const OTHER_REASONS_MS = 30
const OTHER_REASONS_SHARE = 0.15

/** What was expected of a fetch when its engine was chosen. */
export interface ExpectedFetch {
  /** Until its last byte, waiting included. */
  readonly fetchMs: number
  /** Until the first event, without the fetch. */
  readonly otherMs: number
  /** Doublings of the link's stated time that were believed. */
  readonly doublings: number
}

/** Samples by which all links of a store speak for one of them: a slow store is found on each link, a slow pair of places on its own. */
const STORE_SAMPLES = 2

/** Doublings from which a link counts as slow, and below which it counts as sound again. */
const SLOW_DOUBLINGS = 1
const SOUND_DOUBLINGS = 0.5

/** A change of belief about one link. */
export interface LinkChange {
  readonly link: string
  readonly isSlow: boolean
  /** Times that a transfer takes of what the site states. */
  readonly slowerBy: number
  /** Transfers of all hosts that tell so, older ones counting less. */
  readonly samples: number
}

/** A transfer that an engine is told to make. */
export interface StoreTransfer {
  readonly store: StoreService
  /** Where the engine stands. */
  readonly dataCentre: string
  readonly bytes: number
}

/** Transfers on all stores' links. */
export class StoreLinks {
  readonly #pending = new Map<string, number>()
  readonly #samples = new Map<string, SpeedSamples>()
  readonly #speeds = new Map<string, LinkSpeed>()
  readonly #slow = new Set<string>()
  #others: ReadonlyMap<string, LinkFigures> = new Map()
  #heardAt = Number.NEGATIVE_INFINITY
  /** Added up once for all candidates of a choice, which is made at one moment. */
  readonly #backlogs = new Map<string, number>()
  #backlogsAt = Number.NaN

  /** @param liveHosts - hosts that share the links, as of now; counts while the others' transfers are not known */
  constructor (private readonly liveHosts: () => number) {}

  /**
   * Time that a transfer keeps the link busy, at the speed that is believed now.
   *
   * @param transfer - what goes where
   * @param now - monotonic milliseconds
   * @returns milliseconds
   */
  transferMs ({ store, bytes, dataCentre }: StoreTransfer, now: number): number {
    const bitsPerMs = store.linkMbps * BITS_PER_MEGABIT / MILLISECONDS_PER_SECOND
    const factor = store.dataCentre === dataCentre ? 1 : OTHER_DATA_CENTRE_FACTOR
    return bytes * BITS_PER_BYTE / bitsPerMs * factor * 2 ** this.doublings(store, dataCentre, now)
  }

  /**
   * @param store - which store
   * @param dataCentre - where its bytes go
   * @param now - monotonic milliseconds
   * @returns doublings of the time that the site states
   */
  doublings (store: StoreService, dataCentre: string, now: number): number {
    const speed = this.#speeds.get(linkName(store.name, dataCentre)) ?? this.#speeds.get(store.name)
    return speed?.doublings(now) ?? 0
  }

  /**
   * @param store - which store
   * @param now - monotonic milliseconds
   * @returns milliseconds until what all hosts have asked for so far has been sent
   */
  backlogMs (store: StoreService, now: number): number {
    if (now !== this.#backlogsAt) this.#backlogs.clear()
    this.#backlogsAt = now
    const known = this.#backlogs.get(store.name)
    if (known !== undefined) return known
    const milliseconds = this.#addUpBacklog(store, now)
    this.#backlogs.set(store.name, milliseconds)
    return milliseconds
  }

  #addUpBacklog (store: StoreService, now: number): number {
    let milliseconds = 0
    for (const [link, bytes] of this.#pendingOfAll(store, now)) {
      milliseconds += this.transferMs({ store, bytes, dataCentre: link.slice(linkName(store.name, '').length) }, now)
    }
    return Math.min(LONGEST_WAIT_MS, milliseconds)
  }

  /** @param transfers - that an engine was told to make */
  begin (transfers: readonly StoreTransfer[]): void {
    this.#addPending(transfers, 1)
  }

  /** @param transfers - that have begun, and are over or given up */
  end (transfers: readonly StoreTransfer[]): void {
    this.#addPending(transfers, -1)
  }

  /**
   * Takes what a first event says of the link that its prompt came over.
   *
   * @param store - whose link was the slowest of those
   * @param dataCentre - where the engine stands
   * @param expected - as estimated
   * @param firstEventMs - milliseconds that the first event took
   * @param now - monotonic milliseconds
   */
  observe (store: StoreService, dataCentre: string, expected: ExpectedFetch, firstEventMs: number, now: number): void {
    const doubtMs = OTHER_REASONS_MS + expected.otherMs * OTHER_REASONS_SHARE
    const ratio = (Math.max(0, firstEventMs - expected.otherMs) + doubtMs) / (expected.fetchMs + doubtMs)
    const link = linkName(store.name, dataCentre)
    const samples = this.#samples.get(link) ?? new SpeedSamples()
    this.#samples.set(link, samples)
    samples.add(expected.doublings + Math.log2(ratio), now)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns what this host has to tell of links
   */
  ownWork (now: number): LinkWork[] {
    const links = new Set([...this.#pending.keys(), ...this.#samples.keys()])
    return [...links].map(link => ({
      link,
      pendingBytes: this.#pending.get(link) ?? 0,
      ...(this.#samples.get(link)?.recent(now) ?? { samples: 0, slower: 0, faster: 0 })
    }))
  }

  /**
   * Takes what the other hosts have told.
   *
   * @param others - figures by link
   * @param now - monotonic milliseconds
   * @returns links that are believed to be slow, or sound again, from now on
   */
  heard (others: ReadonlyMap<string, LinkFigures>, now: number): LinkChange[] {
    this.#others = others
    this.#heardAt = now
    this.#backlogs.clear()
    const evidence = this.#learn(now)
    return [...evidence].flatMap(([link, { samples }]) => this.#changeOf(link, samples, now))
  }

  #changeOf (link: string, samples: number, now: number): LinkChange[] {
    const doublings = this.#speed(link, now).doublings(now)
    const wasSlow = this.#slow.has(link)
    const isSlow = doublings > (wasSlow ? SOUND_DOUBLINGS : SLOW_DOUBLINGS)
    if (isSlow === wasSlow) return []
    if (isSlow) this.#slow.add(link)
    else this.#slow.delete(link)
    return [{ link, isSlow, slowerBy: 2 ** doublings, samples }]
  }

  #learn (now: number): Map<string, SpeedEvidence> {
    const own = new Map(this.ownWork(now).map(work => [work.link, work]))
    const links = new Set([...own.keys(), ...this.#others.keys()])
    const evidence = new Map([...links].map(link => [link, evidenceOf(addLinks(own.get(link) ?? IDLE_LINK, this.#others.get(link) ?? IDLE_LINK))]))
    const stores = sumByStore(evidence)
    for (const [store, sum] of stores) this.#speed(store, now).learn(sum, now)
    for (const [link, shown] of evidence) {
      const store = stores.get(storeOfLink(link)) ?? shown
      this.#speed(link, now).learn(drawnTowards(shown, store), now)
    }
    return evidence
  }

  #speed (name: string, now: number): LinkSpeed {
    const present = this.#speeds.get(name)
    if (present !== undefined) return present
    const fresh = new LinkSpeed(this.#speeds.get(storeOfLink(name))?.doublings(now) ?? 0, now)
    this.#speeds.set(name, fresh)
    return fresh
  }

  #pendingOfAll (store: StoreService, now: number): Map<string, number> {
    const areOthersKnown = now - this.#heardAt < OTHERS_LIFETIME_MS
    const pending = new Map<string, number>()
    const add = (link: string, bytes: number): void => {
      if (storeOfLink(link) === store.name) pending.set(link, (pending.get(link) ?? 0) + bytes)
    }
    // Each of the others is taken to have asked for as much while they are not heard.
    for (const [link, bytes] of this.#pending) add(link, bytes * (areOthersKnown ? 1 : this.liveHosts()))
    if (areOthersKnown) for (const [link, { pendingBytes }] of this.#others) add(link, pendingBytes)
    return pending
  }

  #addPending (transfers: readonly StoreTransfer[], sign: 1 | -1): void {
    this.#backlogs.clear()
    for (const { store, dataCentre, bytes } of transfers) {
      const link = linkName(store.name, dataCentre)
      this.#pending.set(link, Math.max(0, (this.#pending.get(link) ?? 0) + sign * bytes))
    }
  }
}

function evidenceOf ({ samples, slower, faster }: LinkFigures): SpeedEvidence {
  return { samples, doublings: slower - faster }
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
