/** Objects in stores, and what is granted on them. */

/** Where in a store an object lies. */
export type StoreTier = 'memory' | 'disk'

/** A complete object in a store, as its listing gives it. */
export interface StoredObject {
  readonly name: string
  readonly store: string
  readonly customer: string
  /** Consecutive block keys of one chain. */
  readonly keys: readonly string[]
  readonly bytes: number
  readonly sha256: string
  readonly tier: StoreTier
  /** Tokens of prefill that reading the object saves. */
  readonly tokens: number
  /** Position of its first block in the chain. */
  readonly firstBlock: number
}

/** A stored object, and how much of a certain chain is there with it. */
export interface CoveringObject {
  readonly object: StoredObject
  /** Leading blocks of the chain that are there once this object and all before it are. */
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

/** A reader's right to one object until a time on the owner's clock. */
export interface ReadLease {
  readonly leaseId: string
  readonly object: StoredObject
  /** Milliseconds from the grant; the reader counts from before it asked. */
  readonly durationMs: number
}

/** An object that may be deleted from its store now. */
export interface DeletableObject {
  readonly store: string
  readonly name: string
}
