/**
 * Life cycle of the stored blocks of one directory shard.
 *
 * Each stored object has a unique name that is never reused. An object is reserved,
 * written, and published only after the store has acknowledged its full length and
 * checksum. Published objects are read under leases. An unpublished object is
 * deleted by its exact name once its leases have ended. A new owner of the shard
 * does not know the leases of the previous owner, so it frees nothing during a
 * grace period in which the longest of those leases must end.
 */
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import type { CoveringObject, DeletableObject, ReadLease, StoreTier, StoredObject, WriteReservation } from './storedObjects.js'

/** Timing and limits of a shard. Durations are in milliseconds. */
export interface ShardSettings {
  readonly readLeaseMs: number
  readonly writeReservationMs: number
  /** How long the previous owner may continue after a new owner was accepted. */
  readonly ownershipMs: number
  /** How long a deletion sent by the previous owner may take to arrive. */
  readonly deletionMs: number
  /** Fraction of a store's bytes above which a customer's objects are evicted before those of others, 0 to 1. */
  readonly customerShare: number
  /** Most blocks in one object. Small objects allow finer sharing and partial imports; large objects cost less overhead. */
  readonly blocksPerObject: number
}

export const DEFAULT_SHARD_SETTINGS: ShardSettings = {
  readLeaseMs: 10_000, writeReservationMs: 30_000, ownershipMs: 3000, deletionMs: 2500, customerShare: 0.5, blocksPerObject: 16
}

interface PublishedObject {
  object: StoredObject
  lastUsedAt: number
  uses: number
  /** Latest end of any lease on the object. */
  leasedUntil: number
}

interface PendingWrite {
  reservation: WriteReservation
  endsAt: number
}

/** The objects of one shard during one ownership epoch. */
export class DirectoryShard {
  readonly #published = new Map<string, PublishedObject>()
  readonly #objectByKey = new Map<string, string>()
  readonly #unpublished = new Map<string, PublishedObject>()
  readonly #writes = new Map<string, PendingWrite>()
  readonly #pendingKeys = new Set<string>()
  readonly #gracePeriodEndsAt: number
  readonly #adoptionAllowedAt: number
  #nextNumber = 0

  /**
   * @param shard - shard number
   * @param epoch - ownership epoch; part of each object name, so that names of different owners never collide
   * @param settings - timing and limits
   * @param ownedSince - monotonic milliseconds when ownership began
   */
  constructor (
    readonly shard: number,
    readonly epoch: number,
    private readonly settings: ShardSettings,
    ownedSince: number
  ) {
    this.#adoptionAllowedAt = ownedSince + settings.ownershipMs + settings.deletionMs
    this.#gracePeriodEndsAt = ownedSince + settings.ownershipMs + settings.deletionMs + Math.max(settings.readLeaseMs, settings.writeReservationMs)
  }

  /**
   * Whether leases of a previous owner may still be active. Nothing is freed during that time.
   *
   * @param now - monotonic milliseconds
   */
  isInGracePeriod (now: number): boolean { return now < this.#gracePeriodEndsAt }

  get objectCount (): number { return this.#published.size }
  get unpublishedCount (): number { return this.#unpublished.size }

  /**
   * Adopts a complete object found in a store's listing. The previous owner may have
   * sent a deletion just before its ownership ended, so nothing is adopted until
   * that deletion must have arrived.
   *
   * @param object - object from the listing
   * @param now - monotonic milliseconds when the listing was requested
   * @returns whether the object was adopted
   */
  adopt (object: StoredObject, now: number): boolean {
    if (now < this.#adoptionAllowedAt || !this.#isUnknown(object.name)) return false
    this.#publish(object, now)
    return true
  }

  /**
   * Leases the stored objects that cover a chain, starting at a block.
   *
   * @param keys - key chain of a prompt
   * @param fromBlock - index of the first block to cover
   * @param leaseIds - generator of lease ids
   * @param now - monotonic milliseconds
   * @returns leases over consecutive objects, in chain order
   */
  lease (keys: readonly string[], fromBlock: number, leaseIds: () => string, now: number): ReadLease[] {
    this.#touchPrefix(keys.slice(0, fromBlock), now)
    return this.coverage(keys, fromBlock).map(({ object }) => {
      const published = this.#published.get(object.name)
      assertInvariant(published !== undefined, 'no-freed-or-partial-block', () => `${object.name} is leased but not published`)
      published.lastUsedAt = now
      published.uses += 1
      published.leasedUntil = Math.max(published.leasedUntil, now + this.settings.readLeaseMs)
      return { leaseId: leaseIds(), object, durationMs: this.settings.readLeaseMs }
    })
  }

  /**
   * Counts the leading blocks that are stored, without leasing them.
   *
   * @param keys - key chain of a prompt
   * @returns number of leading blocks that can be read
   */
  storedBlocks (keys: readonly string[]): number {
    let count = 0
    while (count < keys.length && this.#findPublished(keys[count]) !== undefined) count += 1
    return count
  }

  /**
   * Lists the objects that cover a chain, without leasing them. The end of an object
   * may belong to another chain that shares only its leading blocks with this one.
   *
   * @param keys - key chain of a prompt
   * @param fromBlock - index of the first block to cover
   * @returns objects in chain order
   */
  coverage (keys: readonly string[], fromBlock = 0): CoveringObject[] {
    const covering: CoveringObject[] = []
    let block = fromBlock
    while (block < keys.length) {
      const object = this.#findPublished(keys[block])?.object
      if (object === undefined) break
      let position = object.keys.indexOf(keys[block] ?? '')
      while (position < object.keys.length && block < keys.length && object.keys[position] === keys[block]) {
        position += 1
        block += 1
      }
      covering.push({ object, coversTo: block })
    }
    return covering
  }

  /**
   * Reserves a name for the next blocks of a chain that are neither stored nor being written.
   *
   * @param request - customer, store and complete key chain
   * @param now - monotonic milliseconds
   * @returns the reservation, or undefined if there is nothing to write
   */
  reserve (
    request: { readonly customer: string, readonly store: string, readonly keys: readonly string[], readonly tokensPerBlock: number },
    now: number
  ): WriteReservation | undefined {
    this.#dropExpiredWrites(now)
    const from = this.storedBlocks(request.keys)
    const missing = request.keys.slice(from)
    const firstPending = missing.findIndex(key => this.#pendingKeys.has(key) || this.#objectByKey.has(key))
    const keys = missing.slice(0, firstPending < 0 ? this.settings.blocksPerObject : Math.min(firstPending, this.settings.blocksPerObject))
    if (keys.length === 0) return undefined
    this.#nextNumber += 1
    const name = `s${this.shard}-e${this.epoch}-n${this.#nextNumber}`
    const reservation = {
      name, store: request.store, customer: request.customer, keys, tokens: keys.length * request.tokensPerBlock, firstBlock: from
    }
    this.#writes.set(name, { reservation, endsAt: now + this.settings.writeReservationMs })
    for (const key of keys) this.#pendingKeys.add(key)
    return reservation
  }

  /**
   * Publishes a reserved object after the store has acknowledged all of it.
   *
   * @param name - reserved name
   * @param acknowledged - length, checksum and tier as reported by the store
   * @param now - monotonic milliseconds
   * @returns false if the reservation has expired; the object is then an orphan
   */
  publish (name: string, acknowledged: { readonly bytes: number, readonly sha256: string, readonly tier: StoreTier }, now: number): boolean {
    this.#dropExpiredWrites(now)
    const write = this.#writes.get(name)
    if (write === undefined) return false
    this.#removeWrite(write.reservation)
    this.#publish({ ...write.reservation, ...acknowledged }, now)
    return true
  }

  /**
   * Cancels a reservation.
   *
   * @param name - reserved name
   */
  abandon (name: string): void {
    const write = this.#writes.get(name)
    if (write !== undefined) this.#removeWrite(write.reservation)
  }

  /**
   * Stops granting leases on an object. It becomes deletable once its leases have ended.
   *
   * @param name - published name
   */
  unpublish (name: string): void {
    const published = this.#published.get(name)
    if (published === undefined) return
    this.#published.delete(name)
    for (const key of published.object.keys) {
      if (this.#objectByKey.get(key) === name) this.#objectByKey.delete(key)
    }
    this.#unpublished.set(name, published)
  }

  /**
   * @param store - store name
   * @returns names of the published objects in the store
   */
  objectNamesIn (store: string): string[] {
    return [...this.#published.values()].filter(({ object }) => object.store === store).map(({ object }) => object.name)
  }

  /**
   * Removes objects that a store has lost.
   *
   * @param store - store name
   * @param expected - names published before the listing was requested
   * @param present - names of the complete objects in the listing
   */
  reconcileStore (store: string, expected: ReadonlySet<string>, present: ReadonlySet<string>): void {
    for (const [name, { object }] of this.#published) {
      if (object.store !== store || !expected.has(name) || present.has(name)) continue
      this.unpublish(name)
      this.#unpublished.delete(name)
    }
  }

  /**
   * Unpublishes objects of a store that is too full: those of customers over their
   * share first, and within each group those with the least value per byte.
   *
   * @param store - store name
   * @param bytesToFree - bytes that have to be freed
   * @param now - monotonic milliseconds
   * @returns names that were unpublished
   */
  evict (store: string, bytesToFree: number, now: number): string[] {
    const present = [...this.#published.values()].filter(({ object }) => object.store === store)
    const total = present.reduce((sum, { object }) => sum + object.bytes, 0)
    const bytesByCustomer = new Map<string, number>()
    for (const { object } of present) bytesByCustomer.set(object.customer, (bytesByCustomer.get(object.customer) ?? 0) + object.bytes)
    const limit = total * this.settings.customerShare
    const byValue = present
      .map(published => ({ published, value: valuePerByte(published, now) }))
      // A block cannot be used without those before it, so the end of a chain is evicted first.
      .sort((left, right) => left.value - right.value || right.published.object.firstBlock - left.published.object.firstBlock)
    const victims: string[] = []
    let freed = 0
    const evictWhere = (eligible: (customer: string) => boolean): void => {
      for (const { published: { object } } of byValue) {
        if (freed >= bytesToFree) return
        if (!this.#published.has(object.name) || !eligible(object.customer)) continue
        this.unpublish(object.name)
        bytesByCustomer.set(object.customer, (bytesByCustomer.get(object.customer) ?? 0) - object.bytes)
        freed += object.bytes
        victims.push(object.name)
      }
    }
    evictWhere(customer => (bytesByCustomer.get(customer) ?? 0) > limit)
    evictWhere(() => true)
    return victims
  }

  /**
   * Lists unpublished objects whose leases have all ended.
   *
   * @param now - monotonic milliseconds
   * @returns objects to delete by exact name
   */
  deletable (now: number): DeletableObject[] {
    if (this.isInGracePeriod(now)) return []
    const ready = [...this.#unpublished.values()].filter(({ leasedUntil }) => leasedUntil < now)
    return ready.map(({ object }) => ({ store: object.store, name: object.name }))
  }

  /**
   * Whether an object in a store is unknown to this shard and may be deleted.
   *
   * @param name - name from a store's listing
   * @param now - monotonic milliseconds
   */
  isOrphan (name: string, now: number): boolean {
    if (this.isInGracePeriod(now)) return false
    return this.#isUnknown(name)
  }

  /**
   * @param store - store name
   * @returns bytes of this shard's published objects in the store
   */
  bytesIn (store: string): number {
    let bytes = 0
    for (const { object } of this.#published.values()) {
      if (object.store === store) bytes += object.bytes
    }
    return bytes
  }

  /** @param name - object that the store has deleted */
  confirmDeleted (name: string): void {
    this.#unpublished.delete(name)
  }

  #isUnknown (name: string): boolean {
    return !this.#published.has(name) && !this.#unpublished.has(name) && !this.#writes.has(name)
  }

  /** Marks leading objects as used although an engine holds their blocks: the later objects of the chain depend on them. */
  #touchPrefix (keys: readonly string[], now: number): void {
    for (const key of keys) {
      const published = this.#findPublished(key)
      if (published !== undefined) published.lastUsedAt = now
    }
  }

  #findPublished (key: string | undefined): PublishedObject | undefined {
    const name = key === undefined ? undefined : this.#objectByKey.get(key)
    return name === undefined ? undefined : this.#published.get(name)
  }

  #publish (object: StoredObject, now: number): void {
    this.#published.set(object.name, { object, lastUsedAt: now, uses: 1, leasedUntil: now })
    for (const key of object.keys) this.#objectByKey.set(key, object.name)
  }

  #removeWrite (reservation: WriteReservation): void {
    this.#writes.delete(reservation.name)
    for (const key of reservation.keys) this.#pendingKeys.delete(key)
  }

  #dropExpiredWrites (now: number): void {
    for (const { reservation, endsAt } of this.#writes.values()) {
      if (endsAt < now) this.#removeWrite(reservation)
    }
  }
}

/** Prefill tokens saved per byte, multiplied by the number of uses and divided by the idle time. */
function valuePerByte ({ object, lastUsedAt, uses }: PublishedObject, now: number): number {
  const idleSeconds = Math.max(1, (now - lastUsedAt) / 1000)
  return (object.tokens * uses) / (object.bytes * idleSeconds)
}
