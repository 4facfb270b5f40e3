/**
 * Life cycle of the stored blocks of one directory shard.
 *
 * Each stored object has a name used once. It is reserved, written, published
 * only after the store acknowledged its whole length and checksum, read under a
 * lease, then unpublished, waited out, and deleted by its exact name. A new
 * owner of the shard can't know the old owner's leases: it frees nothing until
 * the longest of them must have ended.
 */
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import type { CoveringObject, DeletableObject, ReadLease, StoreTier, StoredObject, WriteReservation } from './storedObjects.js'

/** Timing and limits of a shard. Durations are in milliseconds. */
export interface ShardSettings {
  readonly readLeaseMs: number
  readonly writeReservationMs: number
  /** How long an old owner may go on after a new one was accepted. */
  readonly ownershipMs: number
  /** How long a deletion that an old owner sent may still be under way. */
  readonly deletionMs: number
  /** Largest share of a store's capacity that one customer may hold while others want it, 0 to 1. */
  readonly customerShare: number
  /** Most blocks in one object: small ones can be shared and cut more finely, large ones cost less upkeep. */
  readonly blocksPerObject: number
}

export const DEFAULT_SHARD_SETTINGS: ShardSettings = {
  readLeaseMs: 10_000, writeReservationMs: 30_000, ownershipMs: 3000, deletionMs: 2500, customerShare: 0.5, blocksPerObject: 16
}

interface PublishedObject {
  object: StoredObject
  lastUsedAt: number
  uses: number
  /** Latest end of any lease on it. */
  leasedUntil: number
}

interface PendingWrite {
  reservation: WriteReservation
  endsAt: number
}

/** Objects of one shard under one epoch of ownership. */
export class DirectoryShard {
  readonly #published = new Map<string, PublishedObject>()
  readonly #objectByKey = new Map<string, string>()
  readonly #unpublished = new Map<string, PublishedObject>()
  readonly #writes = new Map<string, PendingWrite>()
  readonly #pendingKeys = new Set<string>()
  readonly #freeNothingBefore: number
  readonly #adoptNothingBefore: number
  #nextNumber = 0

  /**
   * @param shard - shard number
   * @param epoch - ownership epoch; part of each name, so that no two owners name alike
   * @param settings - timing and limits
   * @param ownedSince - monotonic milliseconds when ownership began
   */
  constructor (
    readonly shard: number,
    readonly epoch: number,
    private readonly settings: ShardSettings,
    ownedSince: number
  ) {
    this.#adoptNothingBefore = ownedSince + settings.ownershipMs + settings.deletionMs
    this.#freeNothingBefore = ownedSince + settings.ownershipMs + settings.deletionMs + Math.max(settings.readLeaseMs, settings.writeReservationMs)
  }

  /**
   * Whether leases of an earlier owner may still run; until then nothing is freed.
   *
   * @param now - monotonic milliseconds
   */
  isInGracePeriod (now: number): boolean { return now < this.#freeNothingBefore }

  get objectCount (): number { return this.#published.size }
  get unpublishedCount (): number { return this.#unpublished.size }

  /**
   * Takes over a complete object found in a store's listing. An old owner may have
   * sent a deletion just before its ownership ended, so nothing is taken over
   * before that must have arrived.
   *
   * @param object - as listed
   * @param now - monotonic milliseconds when the listing was asked for
   * @returns whether it was new
   */
  adopt (object: StoredObject, now: number): boolean {
    if (now < this.#adoptNothingBefore || !this.#isUnknown(object.name)) return false
    this.#publish(object, now)
    return true
  }

  /**
   * Leases the stored objects that cover a chain from a block on.
   *
   * @param keys - key chain of a prompt
   * @param fromBlock - first block wanted
   * @param leaseIds - source of lease names
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
   * Counts leading blocks that are stored, without leasing them.
   *
   * @param keys - key chain of a prompt
   * @returns number of leading blocks that can be read
   */
  storedBlocks (keys: readonly string[]): number {
    let count = 0
    while (count < keys.length && this.#publishedWith(keys[count]) !== undefined) count += 1
    return count
  }

  /**
   * Lists the objects that cover a chain, without leasing them. An object may go
   * on with blocks of another chain that shares its beginning.
   *
   * @param keys - key chain of a prompt
   * @param fromBlock - first block wanted
   * @returns objects in chain order
   */
  coverage (keys: readonly string[], fromBlock = 0): CoveringObject[] {
    const covering: CoveringObject[] = []
    let block = fromBlock
    while (block < keys.length) {
      const object = this.#publishedWith(keys[block])?.object
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
   * Reserves a name for writing blocks that are neither stored nor being written.
   *
   * @param request - whole chain, and where the object would go
   * @param now - monotonic milliseconds
   * @returns the reservation, or undefined if there is nothing to write
   */
  reserve (
    request: { readonly customer: string, readonly store: string, readonly keys: readonly string[], readonly tokensPerBlock: number },
    now: number
  ): WriteReservation | undefined {
    this.#dropLapsedWrites(now)
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
   * Publishes a reserved object after the store acknowledged all of it.
   *
   * @param name - reserved name
   * @param acknowledged - length, checksum and tier as the store stated them
   * @param now - monotonic milliseconds
   * @returns false if the reservation has lapsed; the object is then freed
   */
  publish (name: string, acknowledged: { readonly bytes: number, readonly sha256: string, readonly tier: StoreTier }, now: number): boolean {
    this.#dropLapsedWrites(now)
    const write = this.#writes.get(name)
    if (write === undefined) return false
    this.#endWrite(write.reservation)
    this.#publish({ ...write.reservation, ...acknowledged }, now)
    return true
  }

  /**
   * Gives up a reservation.
   *
   * @param name - reserved name
   */
  abandon (name: string): void {
    const write = this.#writes.get(name)
    if (write !== undefined) this.#endWrite(write.reservation)
  }

  /**
   * Takes an object out of sight; it is deleted once its leases have ended.
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
   * @returns names of the published objects in it
   */
  objectNamesIn (store: string): string[] {
    return [...this.#published.values()].filter(({ object }) => object.store === store).map(({ object }) => object.name)
  }

  /**
   * Forgets what a store lost.
   *
   * @param store - store name
   * @param expected - names published before the listing was asked for
   * @param present - names that it lists complete
   */
  reconcileStore (store: string, expected: ReadonlySet<string>, present: ReadonlySet<string>): void {
    for (const [name, { object }] of this.#published) {
      if (object.store !== store || !expected.has(name) || present.has(name)) continue
      this.unpublish(name)
      this.#unpublished.delete(name)
    }
  }

  /**
   * Chooses what to drop from a store that is too full: least value a byte first,
   * customers over their share before all others.
   *
   * @param store - store name
   * @param bytesToFree - how much must go
   * @param now - monotonic milliseconds
   * @returns names that were unpublished
   */
  evict (store: string, bytesToFree: number, now: number): string[] {
    const present = [...this.#published.values()].filter(({ object }) => object.store === store)
    const total = present.reduce((sum, { object }) => sum + object.bytes, 0)
    const held = new Map<string, number>()
    for (const { object } of present) held.set(object.customer, (held.get(object.customer) ?? 0) + object.bytes)
    const limit = total * this.settings.customerShare
    const byValue = present
      .map(published => ({ published, value: valuePerByte(published, now) }))
      // Blocks are useless without those before them, so the end of a chain goes first.
      .sort((left, right) => left.value - right.value || right.published.object.firstBlock - left.published.object.firstBlock)
    const victims: string[] = []
    let freed = 0
    const evictWhere = (eligible: (customer: string) => boolean): void => {
      for (const { published: { object } } of byValue) {
        if (freed >= bytesToFree) return
        if (!this.#published.has(object.name) || !eligible(object.customer)) continue
        this.unpublish(object.name)
        held.set(object.customer, (held.get(object.customer) ?? 0) - object.bytes)
        freed += object.bytes
        victims.push(object.name)
      }
    }
    evictWhere(customer => (held.get(customer) ?? 0) > limit)
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
   * Whether a stored object that nobody published is left over and may go.
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
   * @returns bytes of this shard's objects in it
   */
  bytesIn (store: string): number {
    let bytes = 0
    for (const { object } of this.#published.values()) {
      if (object.store === store) bytes += object.bytes
    }
    return bytes
  }

  /** @param name - object the store has deleted */
  confirmDeleted (name: string): void {
    this.#unpublished.delete(name)
  }

  #isUnknown (name: string): boolean {
    return !this.#published.has(name) && !this.#unpublished.has(name) && !this.#writes.has(name)
  }

  /** Earlier objects of a chain are worth as much as later ones, also when an engine still holds them. */
  #touchPrefix (keys: readonly string[], now: number): void {
    for (const key of keys) {
      const published = this.#publishedWith(key)
      if (published !== undefined) published.lastUsedAt = now
    }
  }

  #publishedWith (key: string | undefined): PublishedObject | undefined {
    const name = key === undefined ? undefined : this.#objectByKey.get(key)
    return name === undefined ? undefined : this.#published.get(name)
  }

  #publish (object: StoredObject, now: number): void {
    this.#published.set(object.name, { object, lastUsedAt: now, uses: 1, leasedUntil: now })
    for (const key of object.keys) this.#objectByKey.set(key, object.name)
  }

  #endWrite (reservation: WriteReservation): void {
    this.#writes.delete(reservation.name)
    for (const key of reservation.keys) this.#pendingKeys.delete(key)
  }

  #dropLapsedWrites (now: number): void {
    for (const { reservation, endsAt } of this.#writes.values()) {
      if (endsAt < now) this.#endWrite(reservation)
    }
  }
}

/** Prefill tokens saved for each byte, weighted by use and fading with idle time. */
function valuePerByte ({ object, lastUsedAt, uses }: PublishedObject, now: number): number {
  const idleSeconds = Math.max(1, (now - lastUsedAt) / 1000)
  return (object.tokens * uses) / (object.bytes * idleSeconds)
}
