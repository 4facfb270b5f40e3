/**
 * Links of stores: the pending transfers on them, and the current duration of a transfer.
 *
 * The estimates matter when prompts recur faster than their store can send them. Transfers run one
 * after another on a store's link, and take twice as long to another data centre. Hosts exchange
 * their pending transfers and observed speeds ({@link LinkLoad}), so that each host counts the
 * transfers of all hosts, and all hosts detect a slow link after about ten transfers in total.
 */
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { linkName, storeOfLink, type LinkLoadFigures, type LinkLoad } from '../load/linkLoad.js'
import { LinkSpeeds, type ExpectedFetch, type LinkSpeedChange } from './LinkSpeeds.js'

const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1e6
const MILLISECONDS_PER_SECOND = 1000

/** Factor by which a transfer to another data centre takes longer. */
const OTHER_DATA_CENTRE_FACTOR = 2

/** Longest wait of a transfer, in milliseconds. Engines don't start a transfer that would wait longer. */
const MAX_TRANSFER_WAIT_MS = 2000

/** Age up to which the last received transfers of other hosts are used, in milliseconds; the same as for their other load. */
const PEER_LOAD_LIFETIME_MS = 400

/** Weight of samples from which they are reported to other hosts; smaller weights are below the resolution of the encoding. */
const MIN_REPORTED_SAMPLES = 1 / 64

/** A transfer that an engine is told to start. */
export interface StoreTransfer {
  readonly store: StoreService
  /** Data centre of the engine. */
  readonly dataCentre: string
  readonly bytes: number
}

/** Transfers and speeds on the links of all stores. */
export class StoreLinks {
  readonly #speeds = new LinkSpeeds()
  readonly #pending = new Map<string, number>()
  #peers: ReadonlyMap<string, LinkLoadFigures> = new Map()
  #peersObservedAt = Number.NEGATIVE_INFINITY
  /** Backlogs by store, computed once for all candidates of a choice, which share one point in time. */
  readonly #backlogs = new Map<string, number>()
  #backlogsAt = Number.NaN

  /** @param liveHosts - returns the current number of hosts that share the links; used while the transfers of other hosts are unknown */
  constructor (private readonly liveHosts: () => number) {}

  /**
   * Returns the time for which a transfer occupies the link at the currently estimated speed.
   *
   * @param transfer - store, target and size
   * @param now - monotonic milliseconds
   * @returns milliseconds
   */
  transferMs ({ store, bytes, dataCentre }: StoreTransfer, now: number): number {
    const bitsPerMs = store.linkMbps * BITS_PER_MEGABIT / MILLISECONDS_PER_SECOND
    const factor = store.dataCentre === dataCentre ? 1 : OTHER_DATA_CENTRE_FACTOR
    return bytes * BITS_PER_BYTE / bitsPerMs * factor * 2 ** this.doublings(store, dataCentre, now)
  }

  /**
   * @param store - store that sends
   * @param dataCentre - data centre that receives
   * @param now - monotonic milliseconds
   * @returns estimated slowdown in doublings
   */
  doublings (store: StoreService, dataCentre: string, now: number): number {
    return this.#speeds.doublings(linkName(store.name, dataCentre), now)
  }

  /**
   * @param store - store that sends
   * @param now - monotonic milliseconds
   * @returns milliseconds until the store has sent all pending transfers of all hosts
   */
  backlogMs (store: StoreService, now: number): number {
    if (now !== this.#backlogsAt) this.#backlogs.clear()
    this.#backlogsAt = now
    const cached = this.#backlogs.get(store.name)
    if (cached !== undefined) return cached
    const milliseconds = this.#sumBacklog(store, now)
    this.#backlogs.set(store.name, milliseconds)
    return milliseconds
  }

  /** @param transfers - transfers that an engine was told to start */
  beginTransfers (transfers: readonly StoreTransfer[]): void {
    this.#addPending(transfers, 1)
  }

  /** @param transfers - started transfers that have completed or were abandoned */
  endTransfers (transfers: readonly StoreTransfer[]): void {
    this.#addPending(transfers, -1)
  }

  /**
   * Records a first event as a sample of the link over which its prompt was fetched.
   *
   * @param store - store with the slowest link of the fetch
   * @param dataCentre - data centre of the engine
   * @param expected - expectation at the time of the choice
   * @param firstEventMs - milliseconds that the first event took
   * @param now - monotonic milliseconds
   */
  observe (store: StoreService, dataCentre: string, expected: ExpectedFetch, firstEventMs: number, now: number): void {
    this.#speeds.observe(linkName(store.name, dataCentre), expected, firstEventMs, now)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns load of links to report to other hosts
   */
  localLoad (now: number): LinkLoad[] {
    const links = new Set([...this.#pending.keys(), ...this.#speeds.sampledLinks])
    return [...links]
      .map(link => ({ link, pendingBytes: this.#pending.get(link) ?? 0, ...this.#speeds.recent(link, now) }))
      .filter(({ pendingBytes, samples }) => pendingBytes > 0 || samples >= MIN_REPORTED_SAMPLES)
  }

  /**
   * Records the load of the other hosts.
   *
   * @param peers - figures by link
   * @param now - monotonic milliseconds
   * @returns links that count as slow, or as recovered, from now on
   */
  observePeers (peers: ReadonlyMap<string, LinkLoadFigures>, now: number): LinkSpeedChange[] {
    this.#peers = peers
    this.#peersObservedAt = now
    this.#backlogs.clear()
    return this.#speeds.update(peers, now)
  }

  #sumBacklog (store: StoreService, now: number): number {
    let milliseconds = 0
    for (const [link, bytes] of this.#pendingOnAllHosts(store, now)) {
      milliseconds += this.transferMs({ store, bytes, dataCentre: link.slice(linkName(store.name, '').length) }, now)
    }
    return Math.min(MAX_TRANSFER_WAIT_MS, milliseconds)
  }

  #pendingOnAllHosts (store: StoreService, now: number): Map<string, number> {
    const arePeersKnown = now - this.#peersObservedAt < PEER_LOAD_LIFETIME_MS
    const pending = new Map<string, number>()
    const add = (link: string, bytes: number): void => {
      if (storeOfLink(link) === store.name) pending.set(link, (pending.get(link) ?? 0) + bytes)
    }
    // While their load is unknown, the other hosts are assumed to have as many transfers pending as this one.
    for (const [link, bytes] of this.#pending) add(link, bytes * (arePeersKnown ? 1 : this.liveHosts()))
    if (arePeersKnown) for (const [link, { pendingBytes }] of this.#peers) add(link, pendingBytes)
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
