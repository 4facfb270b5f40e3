/** Watches one store for the shards of this directory: listing, capacity and deletions. */
import type { StoreBackend, StoreListing, StoreLoad } from '@eelgrassmux/backends/StoreClient'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { DirectoryShard } from '@eelgrassmux/cache/DirectoryShard'

/** Interval between looks at the store, in milliseconds. */
const POLL_MS = 500

/** A listing is read every so many looks. */
const LOOKS_PER_LISTING = 8

/** Failed looks in a row after which the store's objects are not offered. */
const FAILURES_TO_HIDE = 2

/** Eviction starts above the first and goes down to the second share of the capacity. */
const EVICT_ABOVE = 0.9
const EVICT_TO = 0.8

/** Counts what happened to objects. */
export type ObjectCounter = (event: 'adopted' | 'evicted' | 'deleted' | 'orphan-deleted' | 'store-restart' | 'store-hidden') => void

/** Owns the connection to one store. */
export class StoreWatcher {
  #incarnation: number | undefined
  #failures = 0
  #looks = 0
  #timer: NodeJS.Timeout | undefined
  #busy = false

  /**
   * @param clock - time
   * @param store - store name
   * @param client - its adapter
   * @param shards - shards owned now
   * @param mayAct - whether ownership is confirmed as of now
   * @param counter - counts events
   */
  constructor (
    private readonly clock: Clock,
    private readonly store: string,
    private readonly client: StoreBackend & { close (): Promise<void> },
    private readonly shards: () => readonly DirectoryShard[],
    private readonly mayAct: () => boolean,
    private readonly counter: ObjectCounter
  ) {}

  /** Whether the store answers; objects of a silent one are not offered. */
  get isUp (): boolean { return this.#failures < FAILURES_TO_HIDE && this.#incarnation !== undefined }

  /** Starts to look. */
  start (): void {
    this.#timer = setInterval(() => { void this.poll() }, POLL_MS)
    void this.poll()
  }

  /** Reads the listing at the next look, for a shard that was just taken over. */
  requestListing (): void {
    this.#looks = 0
  }

  /** Stops and closes the connection. */
  async stop (): Promise<void> {
    clearInterval(this.#timer)
    await this.client.close()
  }

  /** One look at the store. */
  async poll (): Promise<void> {
    if (this.#busy) return
    this.#busy = true
    try {
      const load = await this.client.load()
      if (load.ok) await this.#onLoad(load.value)
      else this.#onSilence()
    } finally {
      this.#busy = false
    }
  }

  async #onLoad (load: StoreLoad): Promise<void> {
    this.#failures = 0
    if (this.#incarnation !== undefined && this.#incarnation !== load.incarnation) {
      this.counter('store-restart')
      this.#looks = 0
    }
    this.#incarnation = load.incarnation
    if (this.#looks % LOOKS_PER_LISTING === 0) await this.#readListing()
    this.#looks += 1
    this.#evict(load)
    await this.#deleteFreed()
  }

  #onSilence (): void {
    this.#failures += 1
    if (this.#failures === FAILURES_TO_HIDE) this.counter('store-hidden')
    this.#looks = 0
  }

  async #readListing (): Promise<void> {
    const knownBefore = new Map(this.shards().map(shard => [shard, new Set(shard.objectNamesIn(this.store))]))
    const askedAt = this.clock.now()
    const listing = await this.client.list()
    if (!listing.ok) return
    const now = this.clock.now()
    for (const shard of this.shards()) {
      const own = listing.value.objects.filter(object => object.name.startsWith(`s${shard.shard}-`))
      // Only what was known before the listing was asked for can be missing from it.
      shard.reconcileStore(this.store, knownBefore.get(shard) ?? new Set(), new Set(own.map(object => object.name)))
      await this.#settleUnknown(shard, own, askedAt, now)
    }
  }

  async #settleUnknown (shard: DirectoryShard, objects: StoreListing['objects'], askedAt: number, now: number): Promise<void> {
    for (const object of objects) {
      if (shard.isInGracePeriod(now)) {
        if (shard.adopt({ ...object, store: this.store }, askedAt)) this.counter('adopted')
      } else if (shard.isOrphan(object.name, now) && this.mayAct()) {
        await this.client.remove(object.name)
        this.counter('orphan-deleted')
      }
    }
  }

  #evict (load: StoreLoad): void {
    if (load.usedBytes <= load.capacityBytes * EVICT_ABOVE) return
    const excess = load.usedBytes - load.capacityBytes * EVICT_TO
    for (const shard of this.shards()) {
      // Each shard gives up its part, so that the owners together free the excess.
      const part = excess * shard.bytesIn(this.store) / load.usedBytes
      const victims = part > 0 ? shard.evict(this.store, part, this.clock.now()) : []
      victims.forEach(() => { this.counter('evicted') })
    }
  }

  async #deleteFreed (): Promise<void> {
    for (const shard of this.shards()) {
      for (const { store, name } of shard.deletable(this.clock.now())) {
        if (store !== this.store || !this.mayAct()) continue
        const removed = await this.client.remove(name)
        if (!removed.ok) continue
        shard.confirmDeleted(name)
        this.counter('deleted')
      }
    }
  }
}
