/**
 * The part of the agreed state that says which data centres are evacuated.
 *
 * Operators' orders bear no number, are sent again when no answer comes, and may arrive late.
 * Each command therefore names the revision up to which its proposer knew the orders: one that
 * has been overtaken by a newer order about the same data centre changes nothing. An order to
 * do what is done already counts as newer, too: the one before it may still be on its way.
 */
import type { Evacuation } from '@eelgrassmux/schema/site/evacuation'
import type { CommandResult, EvacuationCommand, EvacuationImage } from './commands.js'

/** Data centres that are remembered; ended evacuations go first when there are more. */
export const MAX_DATA_CENTRES = 256

/** Last orders by data centre; equal commands give equal registers. */
export class EvacuationRegistry {
  readonly #orders = new Map<string, Evacuation>()
  #revision = 0

  /** Rises with each order that was not overtaken. */
  get revision (): number { return this.#revision }
  /** Last order about each data centre that had one. */
  get orders (): readonly Evacuation[] { return [...this.#orders.values()] }
  /** Names of the data centres that are evacuated. */
  get evacuated (): string[] {
    return this.orders.filter(({ isEvacuated }) => isEvacuated).map(({ dataCentre }) => dataCentre).sort()
  }

  /**
   * @param command - an order with the revision that its proposer knew
   * @param clock - agreed time, in milliseconds
   * @returns the result for its proposer, and whether the view changed
   */
  apply ({ dataCentre, isEvacuated, knownRevision }: EvacuationCommand, clock: number): { result: CommandResult, hasChanged: boolean } {
    const present = this.#orders.get(dataCentre)
    if ((present?.revision ?? 0) > knownRevision) return { result: { kind: 'revision-conflict', revision: this.#revision }, hasChanged: false }
    if (present === undefined && !this.#tryMakeRoom()) return { result: { kind: 'invalid', message: `data centre: ${MAX_DATA_CENTRES} are evacuated already` }, hasChanged: false }
    const hasChanged = (present?.isEvacuated ?? false) !== isEvacuated
    this.#revision += 1
    const orderedAt = hasChanged ? clock : present?.orderedAt ?? clock
    this.#orders.set(dataCentre, { dataCentre, isEvacuated, revision: this.#revision, orderedAt })
    return { result: { kind: 'accepted', revision: this.#revision }, hasChanged }
  }

  /** @returns an image for a snapshot */
  image (): EvacuationImage {
    return { revision: this.#revision, orders: [...this.orders] }
  }

  /** @param image - replaces everything */
  restore ({ revision, orders }: EvacuationImage): void {
    this.#revision = revision
    this.#orders.clear()
    for (const order of orders) this.#orders.set(order.dataCentre, order)
  }

  /** Never drops an evacuation that is in force. */
  #tryMakeRoom (): boolean {
    if (this.#orders.size < MAX_DATA_CENTRES) return true
    const oldestEnded = this.orders.filter(({ isEvacuated }) => !isEvacuated).sort((left, right) => left.revision - right.revision)[0]
    return oldestEnded !== undefined && this.#orders.delete(oldestEnded.dataCentre)
  }
}
