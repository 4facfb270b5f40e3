/** Index of the prompt parts that stores hold completely, as last reported by control hosts. */
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { StoreChange, StoredPart } from '@eelgrassmux/schema/site/storedParts'
import type { PromptPart } from '../prompts/promptDescription.js'
import { homeStore } from './homeStore.js'

/** Stores from which the parts of a prompt are fetched and to which they are saved, with one entry for each part; undefined for none. */
export interface StorePlan {
  readonly fetches: ReadonlyArray<StoreService | undefined>
  readonly saves: ReadonlyArray<string | undefined>
  /** Tokens at the beginning of the chain that stores hold. */
  readonly storedTokens: number
}

/** Applies changes of the stored parts, and plans fetches and saves. */
export class StoredPartsIndex {
  readonly #held = new Map<string, Set<string>>()
  #stores: readonly StoreService[] = []

  /** @param stores - stores of the active site */
  configure (stores: readonly StoreService[]): void {
    this.#stores = stores
    const names = new Set(stores.map(store => store.name))
    for (const name of this.#held.keys()) {
      if (!names.has(name)) this.#held.delete(name)
    }
  }

  /** @param change - change at one store; a store is used only after its complete list of parts was received */
  apply (change: StoreChange): void {
    if (change.kind === 'lost') {
      this.#held.delete(change.store)
      return
    }
    const held = change.kind === 'whole' ? new Set<string>() : this.#held.get(change.store)
    if (held === undefined) return
    for (const part of change.removed) held.delete(keyOf(part))
    for (const part of change.added) held.add(keyOf(part))
    this.#held.set(change.store, held)
  }

  /** Drops the parts of all stores; called when no control host confirms them any more. */
  clear (): void {
    this.#held.clear()
  }

  /** Number of parts held by all stores. */
  get size (): number {
    return [...this.#held.values()].reduce((sum, held) => sum + held.size, 0)
  }

  /**
   * Plans for the shared parts of a prompt.
   *
   * @param scope - cache salt of the request
   * @param parts - shared parts, in order
   * @param allows - returns whether the parts may be kept in a data centre
   */
  plan (scope: string, parts: readonly PromptPart[], allows: (dataCentre: string) => boolean = () => true): StorePlan {
    const availableStores = this.#stores.filter(store => this.#held.has(store.name) && allows(store.dataCentre))
    const fetches: Array<StoreService | undefined> = []
    const saves: Array<string | undefined> = []
    let storedTokens = 0
    let isContiguous = true
    for (const part of parts) {
      const home = homeStore(part.id, availableStores)
      const key = keyOf([scope, part.id])
      const store = this.#findHolder(home, key, availableStores)
      fetches.push(store)
      // Every request asks for the save until the part is stored, because the first request may never have been prefilled.
      saves.push(store === undefined ? home?.address : undefined)
      isContiguous &&= store !== undefined
      if (isContiguous) storedTokens += part.tokens
    }
    return { fetches, saves, storedTokens }
  }

  /** Returns the home if it holds the part, and any other holder otherwise. While a home is unavailable, its parts are saved elsewhere. */
  #findHolder (home: StoreService | undefined, key: string, availableStores: readonly StoreService[]): StoreService | undefined {
    const holds = (store: StoreService): boolean => this.#held.get(store.name)?.has(key) === true
    return home !== undefined && holds(home) ? home : availableStores.find(holds)
  }
}

function keyOf ([scope, id]: StoredPart): string {
  return `${scope}/${id}`
}
