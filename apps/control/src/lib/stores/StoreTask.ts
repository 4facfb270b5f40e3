/**
 * Tracks all stores of the site on behalf of the hosts that watch this control
 * host. On the leader, it also frees parts that no request can use any more.
 */
import { EventEmitter } from 'node:events'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { STORED_PARTS_BATCH_MS, type StoreChange, type StoredPartsMessage } from '@eelgrassmux/schema/site/storedParts'
import type { RejectedEntries } from '@eelgrassmux/telemetry/RejectedEntries'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { RaftTask } from '../raft/RaftTask.js'
import { findObsoleteParts } from './findObsoleteParts.js'
import { StoreClocks } from './StoreClocks.js'
import { StoreFollower, type StoreSource } from './StoreFollower.js'

/** Interval between checks of the site's stores and of parts to free, in milliseconds. */
const CHECK_INTERVAL_MS = 1000

/** Deadline for a store to act on a call to free parts, in milliseconds. No other leader can be elected within this time. */
const FREE_DEADLINE_MS = 300

/** Maximum number of parts freed in one call. */
const MAX_FREED_PARTS = 200

/** One watch stream over all stores. */
interface Watcher {
  readonly pending: StoreChange[]
  readonly wake: () => void
}

/** Runs one follower for each store of the site and distributes their changes to the watchers. */
export class StoreTask {
  readonly #followers = new Map<string, StoreFollower>()
  readonly #watchers = new Set<Watcher>()
  readonly #changes = new EventEmitter()
  #version = 0
  readonly #clocks = new StoreClocks()
  #timer: NodeJS.Timeout | undefined
  #isFreeing = false

  /**
   * @param raft - replica with the site and the leadership
   * @param source - access to the stores
   * @param endpoints - returns the endpoints of the site that this host knows
   * @param rejected - records entries that cannot be used
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

  /** Number of changes of all stores so far. */
  get version (): number { return this.#version }
  /** Current time on the stores' clock, in milliseconds; undefined until a store has reported it. */
  get clockMs (): number | undefined {
    return this.#clocks.clockMs(performance.now())
  }

  /** Adds a watcher, whose first message contains all known parts, and starts to follow the stores if it is the first one. */
  addWatcher (wake: () => void): Watcher {
    const watcher: Watcher = { pending: this.#snapshot(), wake }
    this.#watchers.add(watcher)
    if (this.#timer === undefined) {
      this.#timer = setInterval(() => { this.#check() }, CHECK_INTERVAL_MS)
      this.#check()
    }
    return watcher
  }

  /** @param watcher - returned by {@link StoreTask.addWatcher} */
  removeWatcher (watcher: Watcher): void {
    this.#watchers.delete(watcher)
    if (this.#watchers.size === 0) this.stop()
  }

  /**
   * Removes and returns the changes that a watcher has not received yet.
   *
   * @param watcher - returned by {@link StoreTask.addWatcher}
   */
  takePending (watcher: Watcher): Omit<StoredPartsMessage, 'incarnation'> {
    const update = { version: this.#version, changes: watcher.pending.splice(0) }
    const { clockMs } = this
    return clockMs === undefined ? update : { ...update, clockMs }
  }

  /** Updates the followers as soon as the site changes. Call this after the committed state has changed. */
  siteChanged (): void {
    if (this.#timer !== undefined) this.#reconcileFollowers()
  }

  /** Stops following all stores. */
  stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
    for (const follower of this.#followers.values()) follower.stop()
    this.#followers.clear()
  }

  #check (): void {
    this.#reconcileFollowers()
    void this.#freeObsoleteParts()
  }

  #reconcileFollowers (): void {
    const stores = (this.raft.state.sites.put?.site.services ?? []).filter(service => service.type === 'store')
    for (const [name, follower] of this.#followers) {
      const present = stores.find(store => store.name === name)
      if (present?.address === follower.store.address) continue
      follower.stop()
      this.#followers.delete(name)
      this.#clocks.forget(name)
      this.#publish({ store: name, kind: 'lost', added: [], removed: [] })
    }
    for (const store of stores) {
      if (!this.#followers.has(store.name)) this.#follow(store)
    }
  }

  #follow (store: StoreService): void {
    const follower = new StoreFollower(store, this.source, change => {
      if (this.#followers.get(store.name) === follower) this.#publish(change)
    }, clockMs => { this.#clocks.observe(store.name, clockMs, performance.now()) }, this.rejected, this.telemetry)
    this.#followers.set(store.name, follower)
    void follower.run()
  }

  #publish (change: StoreChange): void {
    this.#version += 1
    for (const watcher of this.#watchers) {
      if (watcher.pending.length === 0) setTimeout(watcher.wake, STORED_PARTS_BATCH_MS)
      watcher.pending.push(change)
    }
  }

  #snapshot (): StoreChange[] {
    return [...this.#followers.values()].filter(follower => follower.isAvailable)
      .map(follower => ({ store: follower.store.name, kind: 'whole' as const, added: [...follower.parts], removed: [] }))
  }

  /** Frees parts only on the leader, after a quorum has confirmed the leadership. */
  async #freeObsoleteParts (): Promise<void> {
    if (this.#isFreeing || this.raft.core.role !== 'leader') return
    this.#isFreeing = true
    try {
      for (const follower of this.#followers.values()) await this.#freeObsoletePartsOf(follower)
    } finally {
      this.#isFreeing = false
    }
  }

  async #freeObsoletePartsOf (follower: StoreFollower): Promise<void> {
    const { clockMs } = this
    if (!follower.isAvailable || follower.epoch === undefined || clockMs === undefined) return
    const obsolete = findObsoleteParts(follower.parts, this.endpoints()).slice(0, MAX_FREED_PARTS)
    if (obsolete.length === 0 || !await this.raft.confirmRead()) return
    // The parts are withdrawn first, so that no host fetches them whatever the outcome of the call.
    follower.removeFreed(obsolete)
    const answer = await this.source.free(follower.store, obsolete, follower.epoch, clockMs + FREE_DEADLINE_MS)
    this.telemetry.logStateChange('stored-parts-freed', {
      store: follower.store.name, parts: obsolete.length, outcome: answer.ok ? 'done' : answer.error.kind
    })
  }
}
