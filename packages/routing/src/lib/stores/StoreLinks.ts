/**
 * Work on the links of stores, as far as this host knows it.
 *
 * Answers the load in which prompts return faster than their store can send
 * them: transfers run one after another on a store's link, and take twice as
 * long to another data centre. Each host counts what it asked for, and lets it
 * drain at its part of the link; hosts share the prompts evenly, so the parts
 * add up.
 */
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'

const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1e6
const MILLISECONDS_PER_SECOND = 1000

/** How much longer a transfer to another data centre takes; the users' sheets say twice. */
const OTHER_DATA_CENTRE_FACTOR = 2

/** A link's backlog when it was last looked at. */
interface Backlog {
  milliseconds: number
  at: number
}

/** Backlogs of all stores. */
export class StoreLinks {
  readonly #backlogs = new Map<string, Backlog>()

  /** @param liveHosts - hosts that share the links, as of now */
  constructor (private readonly liveHosts: () => number) {}

  /**
   * Time that a transfer keeps the link busy.
   *
   * @param store - where the bytes come from
   * @param bytes - how many
   * @param dataCentre - where they go
   * @returns milliseconds
   */
  transferMs (store: StoreService, bytes: number, dataCentre: string): number {
    const bitsPerMs = store.linkMbps * BITS_PER_MEGABIT / MILLISECONDS_PER_SECOND
    const factor = store.dataCentre === dataCentre ? 1 : OTHER_DATA_CENTRE_FACTOR
    return bytes * BITS_PER_BYTE / bitsPerMs * factor
  }

  /**
   * @param store - which store
   * @param now - monotonic milliseconds
   * @returns milliseconds until what was asked for so far has been sent
   */
  backlogMs (store: StoreService, now: number): number {
    const backlog = this.#backlogs.get(store.name)
    return backlog === undefined ? 0 : Math.max(0, backlog.milliseconds - (now - backlog.at))
  }

  /**
   * Notes a transfer that an engine was told to make. It counts as many times as
   * there are hosts, because each of the others has asked for as much.
   *
   * @param store - where the bytes come from
   * @param milliseconds - time that it keeps the link busy
   * @param now - monotonic milliseconds
   */
  record (store: StoreService, milliseconds: number, now: number): void {
    const present = this.backlogMs(store, now)
    this.#backlogs.set(store.name, { milliseconds: present + milliseconds * this.liveHosts(), at: now })
  }
}
