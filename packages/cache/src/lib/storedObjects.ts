/** Objects in stores, and the reservations and leases on them. */

/** Storage tier that holds an object. */
export type StoreTier = 'memory' | 'disk'

/** A complete object in a store. */
export interface StoredObject {
  readonly name: string
  readonly store: string
  readonly customer: string
  /** Consecutive block keys of one chain. */
  readonly keys: readonly string[]
  readonly bytes: number
  readonly sha256: string
  readonly tier: StoreTier
  /** Prefill tokens saved by reading the object. */
  readonly tokens: number
  /** Index of the object's first block in the chain. */
  readonly firstBlock: number
}

/** A stored object, with the part of a chain that is covered up to its end. */
export interface CoveringObject {
  readonly object: StoredObject
  /** Number of leading blocks of the chain covered by this object and all objects before it. */
  readonly coversTo: number
}

/** A reservation to write one object. */
export interface WriteReservation {
  readonly name: string
  readonly store: string
  readonly customer: string
  readonly keys: readonly string[]
  readonly tokens: number
  readonly firstBlock: number
}

/** Permission to read one object until a time on the shard owner's clock. */
export interface ReadLease {
  readonly leaseId: string
  readonly object: StoredObject
  /** Duration from the grant in milliseconds. The reader counts it from before its request, so its lease ends no later than the owner's. */
  readonly durationMs: number
}

/** An object that may be deleted from its store now. */
export interface DeletableObject {
  readonly store: string
  readonly name: string
}
