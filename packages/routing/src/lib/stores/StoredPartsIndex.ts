/** Which prompt parts stores hold whole, as control hosts last said. */
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { StoreChange, StoredPart } from '@eelgrassmux/schema/site/storedParts'
import type { PromptPart } from '../prompts/promptDescription.js'
import { homeStore } from './homeStore.js'

/** Where the parts of one prompt are fetched from and saved to; one entry a part, undefined for none. */
export interface StorePlan {
  readonly fetches: ReadonlyArray<StoreService | undefined>
  readonly saves: ReadonlyArray<string | undefined>
  /** Tokens at the beginning of the chain that stores hold. */
  readonly storedTokens: number
}

/** Follows changes and plans fetches and saves. */
export class StoredPartsIndex {
  readonly #held = new Map<string, Set<string>>()
  #stores: readonly StoreService[] = []

  /** @param stores - stores of the site in force */
  configure (stores: readonly StoreService[]): void {
    this.#stores = stores
    const names = new Set(stores.map(store => store.name))
    for (const name of this.#held.keys()) {
      if (!names.has(name)) this.#held.delete(name)
    }
  }

  /** @param change - what changed at one store; a store is used once something whole was said of it */
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

  /** Forgets what all stores hold, when nobody vouches for it any more. */
  clear (): void {
    this.#held.clear()
  }

  /** Parts held by all stores together. */
  get size (): number {
    return [...this.#held.values()].reduce((sum, held) => sum + held.size, 0)
  }

  /**
   * Plans for the shared parts of a prompt.
   *
   * @param scope - cache salt of the request
   * @param parts - shared parts, in order
   * @param allows - whether they may be kept in a data centre
   */
  plan (scope: string, parts: readonly PromptPart[], allows: (dataCentre: string) => boolean = () => true): StorePlan {
    const answering = this.#stores.filter(store => this.#held.has(store.name) && allows(store.dataCentre))
    const fetches: Array<StoreService | undefined> = []
    const saves: Array<string | undefined> = []
    let storedTokens = 0
    let isUnbroken = true
    for (const part of parts) {
      const home = homeStore(part.id, answering)
      const key = keyOf([scope, part.id])
      const store = this.#holder(home, key, answering)
      fetches.push(store)
      // Asked for by every request until it is there: whoever asked first may never have been read.
      saves.push(store === undefined ? home?.address : undefined)
      isUnbroken &&= store !== undefined
      if (isUnbroken) storedTokens += part.tokens
    }
    return { fetches, saves, storedTokens }
  }

  /** The home if it holds the part, else any: while a home was away, its parts were saved elsewhere. */
  #holder (home: StoreService | undefined, key: string, answering: readonly StoreService[]): StoreService | undefined {
    const holds = (store: StoreService): boolean => this.#held.get(store.name)?.has(key) === true
    return home !== undefined && holds(home) ? home : answering.find(holds)
  }
}

function keyOf ([scope, id]: StoredPart): string {
  return `${scope}/${id}`
}
