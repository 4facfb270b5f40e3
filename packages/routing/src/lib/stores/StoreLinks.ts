/**
 * Links of stores: what is under way on them, and how long a transfer takes now.
 *
 * Answers the load in which prompts return faster than their store can send them.
 * Transfers run one after another on a store's link and take twice as long to another
 * data centre. Hosts tell each other what they have asked for and what it took
 * ({@link LinkLoad}), so that each counts the transfers of all and a link that turns slow is
 * known to all hosts after some ten transfers of theirs together.
 */
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { linkName, storeOfLink, type LinkLoadFigures, type LinkLoad } from '../load/linkLoad.js'
import { LinkSpeeds, type ExpectedFetch, type LinkSpeedChange } from './LinkSpeeds.js'

const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1e6
const MILLISECONDS_PER_SECOND = 1000

/** How much longer a transfer to another data centre takes; the users' sheets say twice. */
const OTHER_DATA_CENTRE_FACTOR = 2

/** Longest wait of a transfer, in milliseconds: engines don't start one that would wait longer. */
const LONGEST_WAIT_MS = 2000

/** Age up to which the others' transfers are counted as last heard, in milliseconds; as for their other work. */
const OTHERS_LIFETIME_MS = 400

/** Samples that are worth telling other hosts: less is lost in the figures' steps. */
const LEAST_TOLD_SAMPLES = 1 / 64

/** A transfer that an engine is told to make. */
export interface StoreTransfer {
  readonly store: StoreService
  /** Where the engine stands. */
  readonly dataCentre: string
  readonly bytes: number
}

/** Transfers on all stores' links. */
export class StoreLinks {
  readonly #speeds = new LinkSpeeds()
  readonly #pending = new Map<string, number>()
  #others: ReadonlyMap<string, LinkLoadFigures> = new Map()
  #observedAt = Number.NEGATIVE_INFINITY
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
    return this.#speeds.doublings(linkName(store.name, dataCentre), now)
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

  /** @param transfers - that an engine was told to make */
  beginTransfers (transfers: readonly StoreTransfer[]): void {
    this.#addPending(transfers, 1)
  }

  /** @param transfers - that have begun, and are over or given up */
  endTransfers (transfers: readonly StoreTransfer[]): void {
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
    this.#speeds.observe(linkName(store.name, dataCentre), expected, firstEventMs, now)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns what this host has to tell of links
   */
  localLoad (now: number): LinkLoad[] {
    const links = new Set([...this.#pending.keys(), ...this.#speeds.sampled])
    return [...links]
      .map(link => ({ link, pendingBytes: this.#pending.get(link) ?? 0, ...this.#speeds.recent(link, now) }))
      .filter(({ pendingBytes, samples }) => pendingBytes > 0 || samples >= LEAST_TOLD_SAMPLES)
  }

  /**
   * Takes what the other hosts have told.
   *
   * @param others - figures by link
   * @param now - monotonic milliseconds
   * @returns links that are believed to be slow, or sound again, from now on
   */
  observePeers (others: ReadonlyMap<string, LinkLoadFigures>, now: number): LinkSpeedChange[] {
    this.#others = others
    this.#observedAt = now
    this.#backlogs.clear()
    return this.#speeds.learn(others, now)
  }

  #addUpBacklog (store: StoreService, now: number): number {
    let milliseconds = 0
    for (const [link, bytes] of this.#pendingOfAll(store, now)) {
      milliseconds += this.transferMs({ store, bytes, dataCentre: link.slice(linkName(store.name, '').length) }, now)
    }
    return Math.min(LONGEST_WAIT_MS, milliseconds)
  }

  #pendingOfAll (store: StoreService, now: number): Map<string, number> {
    const areOthersKnown = now - this.#observedAt < OTHERS_LIFETIME_MS
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
