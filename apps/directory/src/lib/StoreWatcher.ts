/** Polls one store for the shards of this directory: reconciles its listing, evicts objects above capacity and deletes freed ones. */
import type { StoreBackend, StoreListing, StoreLoad } from '@eelgrassmux/backends/StoreClient'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { DirectoryShard } from '@eelgrassmux/cache/DirectoryShard'

/** Interval between polls of the store, in milliseconds. */
const POLL_INTERVAL_MS = 500

/** The listing is read once in this many polls. */
const POLLS_PER_LISTING = 8

/** Consecutive failed polls after which lookups no longer return the store's objects. */
const FAILURES_UNTIL_HIDDEN = 2

/** Eviction starts when the used share of the capacity exceeds the high watermark, and stops at the low one. */
const EVICTION_HIGH_WATERMARK = 0.9
const EVICTION_LOW_WATERMARK = 0.8

/** Counts an event in the life of stored objects. */
export type CountObjectEvent = (event: 'adopted' | 'evicted' | 'deleted' | 'orphan-deleted' | 'store-restart' | 'store-hidden') => void

/** Owns the connection to one store and polls it. */
export class StoreWatcher {
  #incarnation: number | undefined
  #failures = 0
  #pollIndex = 0
  #timer: NodeJS.Timeout | undefined
  #isPolling = false

  /**
   * @param clock - source of the current time
   * @param store - store name
   * @param client - client of the store
   * @param shards - returns the shards that this directory owns
   * @param isOwnershipConfirmed - returns whether the ownership of the shards is currently confirmed
   * @param countEvent - counts events of stored objects
   */
  constructor (
    private readonly clock: Clock,
    private readonly store: string,
    private readonly client: StoreBackend & { close (): Promise<void> },
    private readonly shards: () => readonly DirectoryShard[],
    private readonly isOwnershipConfirmed: () => boolean,
    private readonly countEvent: CountObjectEvent
  ) {}

  /** Whether the store answers. Lookups don't return objects of a store that is down. */
  get isUp (): boolean { return this.#failures < FAILURES_UNTIL_HIDDEN && this.#incarnation !== undefined }

  /** Starts polling. */
  start (): void {
    this.#timer = setInterval(() => { void this.poll() }, POLL_INTERVAL_MS)
    void this.poll()
  }

  /** Has the next poll read the listing, for a shard that was just taken over. */
  requestListing (): void {
    this.#pollIndex = 0
  }

  /** Stops polling and closes the connection. */
  async stop (): Promise<void> {
    clearInterval(this.#timer)
    await this.client.close()
  }

  /** Polls the store once, unless a poll is still in progress. */
  async poll (): Promise<void> {
    if (this.#isPolling) return
    this.#isPolling = true
    try {
      const load = await this.client.load()
      if (load.ok) await this.#onLoad(load.value)
      else this.#onLoadFailure()
    } finally {
      this.#isPolling = false
    }
  }

  async #onLoad (load: StoreLoad): Promise<void> {
    this.#failures = 0
    if (this.#incarnation !== undefined && this.#incarnation !== load.incarnation) {
      this.countEvent('store-restart')
      this.#pollIndex = 0
    }
    this.#incarnation = load.incarnation
    if (this.#pollIndex % POLLS_PER_LISTING === 0) await this.#readListing()
    this.#pollIndex += 1
    this.#evict(load)
    await this.#deleteFreed()
  }

  #onLoadFailure (): void {
    this.#failures += 1
    if (this.#failures === FAILURES_UNTIL_HIDDEN) this.countEvent('store-hidden')
    this.#pollIndex = 0
  }

  async #readListing (): Promise<void> {
    const knownBefore = new Map(this.shards().map(shard => [shard, new Set(shard.objectNamesIn(this.store))]))
    const requestedAt = this.clock.now()
    const listing = await this.client.list()
    if (!listing.ok) return
    const now = this.clock.now()
    for (const shard of this.shards()) {
      const own = listing.value.objects.filter(object => object.name.startsWith(`s${shard.shard}-`))
      // An object published after the listing was requested may be absent from it, so only objects known before are checked.
      shard.reconcileStore(this.store, knownBefore.get(shard) ?? new Set(), new Set(own.map(object => object.name)))
      await this.#adoptOrDeleteUnknown(shard, own, requestedAt, now)
    }
  }

  async #adoptOrDeleteUnknown (shard: DirectoryShard, objects: StoreListing['objects'], requestedAt: number, now: number): Promise<void> {
    for (const object of objects) {
      if (shard.isInGracePeriod(now)) {
        if (shard.adopt({ ...object, store: this.store }, requestedAt)) this.countEvent('adopted')
      } else if (shard.isOrphan(object.name, now) && this.isOwnershipConfirmed()) {
        await this.client.remove(object.name)
        this.countEvent('orphan-deleted')
      }
    }
  }

  #evict (load: StoreLoad): void {
    if (load.usedBytes <= load.capacityBytes * EVICTION_HIGH_WATERMARK) return
    const excess = load.usedBytes - load.capacityBytes * EVICTION_LOW_WATERMARK
    for (const shard of this.shards()) {
      // Each shard evicts in proportion to its bytes, so that all owners together free the excess.
      const shardExcess = excess * shard.bytesIn(this.store) / load.usedBytes
      const victims = shardExcess > 0 ? shard.evict(this.store, shardExcess, this.clock.now()) : []
      victims.forEach(() => { this.countEvent('evicted') })
    }
  }

  async #deleteFreed (): Promise<void> {
    for (const shard of this.shards()) {
      for (const { store, name } of shard.deletable(this.clock.now())) {
        if (store !== this.store || !this.isOwnershipConfirmed()) continue
        const removed = await this.client.remove(name)
        if (!removed.ok) continue
        shard.confirmDeleted(name)
        this.countEvent('deleted')
      }
    }
  }
}
