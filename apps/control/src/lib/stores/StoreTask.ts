/**
 * Follows all stores of the site for the hosts that watch this control host, and
 * on the leader frees what nobody can use any more.
 */
import { EventEmitter } from 'node:events'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { StoreChange, StoredPartsMessage } from '@eelgrassmux/schema/site/storedParts'
import type { RejectedEntries } from '@eelgrassmux/telemetry/RejectedEntries'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { RaftTask } from '../raft/RaftTask.js'
import { findDeadParts } from './findDeadParts.js'
import { StoreFollower, type StoreSource } from './StoreFollower.js'

/** Interval between looks at the site and for parts to free, in milliseconds. */
const LOOK_MS = 1000

/**
 * Pause in which changes are gathered into one message, in milliseconds. A prompt
 * returns after seconds, and each message wakes each of 195 hosts, which costs it half a
 * millisecond of processor time and the leader as much again.
 */
const GATHER_MS = 250

/** Time within which a store must act on a call to free, in milliseconds; no other leader can be elected so soon. */
const FREE_WITHIN_MS = 300

/** Most parts freed in one call. */
const FREE_AT_ONCE = 200

/** One watch of all stores. */
interface Watcher {
  readonly pending: StoreChange[]
  readonly wake: () => void
}

/** Keeps the followers in step with the site. */
export class StoreTask {
  readonly #followers = new Map<string, StoreFollower>()
  readonly #watchers = new Set<Watcher>()
  readonly #changes = new EventEmitter()
  #version = 0
  #clock: { readonly clockMs: number, readonly at: number } | undefined
  #timer: NodeJS.Timeout | undefined
  #isFreeing = false

  /**
   * @param raft - site, leadership
   * @param source - stores
   * @param endpoints - endpoints of the site as this host knows them
   * @param rejected - told of entries that can't be used
   * @param telemetry - log
   */
  constructor (
    private readonly raft: RaftTask,
    private readonly source: StoreSource,
    private readonly endpoints: () => readonly ListedEndpoint[],
    private readonly rejected: RejectedEntries,
    private readonly telemetry: Telemetry
  ) {
    this.#changes.setMaxListeners(0)
  }

  /** Changes of all stores so far. */
  get version (): number { return this.#version }
  /** The stores' clock now, in milliseconds; undefined until a store has stated it. */
  get clockMs (): number | undefined {
    return this.#clock === undefined ? undefined : this.#clock.clockMs + performance.now() - this.#clock.at
  }

  /** Begins to follow the stores for one more watcher, which first gets all that is known. */
  addWatcher (wake: () => void): Watcher {
    const watcher: Watcher = { pending: this.#snapshot(), wake }
    this.#watchers.add(watcher)
    if (this.#timer === undefined) {
      this.#timer = setInterval(() => { this.#look() }, LOOK_MS)
      this.#look()
    }
    return watcher
  }

  /** @param watcher - as given by {@link StoreTask.addWatcher} */
  removeWatcher (watcher: Watcher): void {
    this.#watchers.delete(watcher)
    if (this.#watchers.size === 0) this.stop()
  }

  /**
   * Takes what a watcher has not been told yet.
   *
   * @param watcher - as given by {@link StoreTask.addWatcher}
   */
  take (watcher: Watcher): Omit<StoredPartsMessage, 'incarnation'> {
    const news = { version: this.#version, changes: watcher.pending.splice(0) }
    const { clockMs } = this
    return clockMs === undefined ? news : { ...news, clockMs }
  }

  /** Follows the stores of a site as soon as it is known; call after the agreed state has changed. */
  siteChanged (): void {
    if (this.#timer !== undefined) this.#followSite()
  }

  /** Ends all following. */
  stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
    for (const follower of this.#followers.values()) follower.stop()
    this.#followers.clear()
  }

  #look (): void {
    this.#followSite()
    void this.#freeDeadParts()
  }

  #followSite (): void {
    const stores = (this.raft.state.sites.put?.site.services ?? []).filter(service => service.type === 'store')
    for (const [name, follower] of this.#followers) {
      const present = stores.find(store => store.name === name)
      if (present?.address === follower.store.address) continue
      follower.stop()
      this.#followers.delete(name)
      this.#publish({ store: name, kind: 'lost', added: [], removed: [] })
    }
    for (const store of stores) {
      if (!this.#followers.has(store.name)) this.#follow(store)
    }
  }

  #follow (store: StoreService): void {
    const follower = new StoreFollower(store, this.source, change => {
      if (this.#followers.get(store.name) === follower) this.#publish(change)
    }, clockMs => { this.#clock = { clockMs, at: performance.now() } }, this.rejected, this.telemetry)
    this.#followers.set(store.name, follower)
    void follower.run()
  }

  #publish (change: StoreChange): void {
    this.#version += 1
    for (const watcher of this.#watchers) {
      if (watcher.pending.length === 0) setTimeout(watcher.wake, GATHER_MS)
      watcher.pending.push(change)
    }
  }

  #snapshot (): StoreChange[] {
    return [...this.#followers.values()].filter(follower => follower.isAnswering)
      .map(follower => ({ store: follower.store.name, kind: 'whole' as const, added: [...follower.parts], removed: [] }))
  }

  /** On the leader only, and only while a quorum confirms that it is. */
  async #freeDeadParts (): Promise<void> {
    if (this.#isFreeing || this.raft.core.role !== 'leader') return
    this.#isFreeing = true
    try {
      for (const follower of this.#followers.values()) await this.#freeAt(follower)
    } finally {
      this.#isFreeing = false
    }
  }

  async #freeAt (follower: StoreFollower): Promise<void> {
    const { clockMs } = this
    if (!follower.isAnswering || follower.epoch === undefined || clockMs === undefined) return
    const dead = findDeadParts(follower.parts, this.endpoints()).slice(0, FREE_AT_ONCE)
    if (dead.length === 0 || !await this.raft.confirmRead()) return
    // Nobody is told to fetch them any more, whatever becomes of the call.
    follower.forget(dead)
    const answer = await this.source.free(follower.store, dead, follower.epoch, clockMs + FREE_WITHIN_MS)
    this.telemetry.logStateChange('stored-parts-freed', {
      store: follower.store.name, parts: dead.length, outcome: answer.ok ? 'done' : answer.error.kind
    })
  }
}
