/**
 * Replicated state of evacuations: data centres whose endpoints receive no new requests.
 *
 * Orders of operators have no sequence number, are resent when no response arrives, and may
 * be delayed. Each command therefore carries the revision of the orders that its proposer
 * knew, and is rejected if a newer order for the same data centre has been applied since.
 * An order that changes nothing still increases the revision, so that an earlier, delayed
 * order for the same data centre is rejected.
 */
import type { Evacuation } from '@eelgrassmux/schema/site/evacuation'
import type { CommandResult, EvacuationCommand, EvacuationImage } from './commands.js'

/** Maximum number of data centres with a recorded order; a new one replaces the oldest ended evacuation. */
export const MAX_DATA_CENTRES = 256

/** Latest order per data centre; the same commands always result in the same orders. */
export class EvacuationRegistry {
  readonly #orders = new Map<string, Evacuation>()
  #revision = 0

  /** Increases with each accepted order. */
  get revision (): number { return this.#revision }
  /** Latest order for each data centre that had one. */
  get orders (): readonly Evacuation[] { return [...this.#orders.values()] }
  /** Names of the data centres that are evacuated. */
  get evacuated (): string[] {
    return this.orders.filter(({ isEvacuated }) => isEvacuated).map(({ dataCentre }) => dataCentre).sort()
  }

  /**
   * @param command - order with the revision known to its proposer
   * @param clock - replicated time, in milliseconds
   * @returns the result for the proposer, and whether the view changed
   */
  apply ({ dataCentre, isEvacuated, knownRevision }: EvacuationCommand, clock: number): { result: CommandResult, hasChanged: boolean } {
    const previous = this.#orders.get(dataCentre)
    if ((previous?.revision ?? 0) > knownRevision) return { result: { kind: 'revision-conflict', revision: this.#revision }, hasChanged: false }
    if (previous === undefined && !this.#tryMakeRoom()) return { result: { kind: 'invalid', message: `data centre: ${MAX_DATA_CENTRES} are evacuated already` }, hasChanged: false }
    const hasChanged = (previous?.isEvacuated ?? false) !== isEvacuated
    this.#revision += 1
    const orderedAt = hasChanged ? clock : previous?.orderedAt ?? clock
    this.#orders.set(dataCentre, { dataCentre, isEvacuated, revision: this.#revision, orderedAt })
    return { result: { kind: 'accepted', revision: this.#revision }, hasChanged }
  }

  /** @returns the state for a snapshot */
  image (): EvacuationImage {
    return { revision: this.#revision, orders: [...this.orders] }
  }

  /** @param image - state from a snapshot; replaces the current state */
  restore ({ revision, orders }: EvacuationImage): void {
    this.#revision = revision
    this.#orders.clear()
    for (const order of orders) this.#orders.set(order.dataCentre, order)
  }

  /** Removes the oldest ended evacuation if the registry is full. Never removes one that is in force. */
  #tryMakeRoom (): boolean {
    if (this.#orders.size < MAX_DATA_CENTRES) return true
    const oldestEnded = this.orders.filter(({ isEvacuated }) => !isEvacuated).sort((left, right) => left.revision - right.revision)[0]
    return oldestEnded !== undefined && this.#orders.delete(oldestEnded.dataCentre)
  }
}
