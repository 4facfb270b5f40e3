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

/** Time after which a save that did not show up may be asked for again, in milliseconds: reading, saving, and the events' lag. */
const SAVE_PATIENCE_MS = 3000

/** Saves remembered; beyond this the oldest are forgotten. */
const REMEMBERED_SAVES = 10_000

/** Follows changes and plans fetches and saves. */
export class StoredPartsIndex {
  readonly #held = new Map<string, Set<string>>()
  readonly #saves = new Map<string, number>()
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
   * Plans for the shared parts of a prompt. Nothing is noted: see {@link StoredPartsIndex.recordSaves}.
   *
   * @param scope - cache salt of the request
   * @param parts - shared parts, in order
   * @param now - monotonic milliseconds
   */
  plan (scope: string, parts: readonly PromptPart[], now: number): StorePlan {
    const answering = this.#stores.filter(store => this.#held.has(store.name))
    const fetches: Array<StoreService | undefined> = []
    const saves: Array<string | undefined> = []
    let storedTokens = 0
    let isUnbroken = true
    for (const part of parts) {
      const home = homeStore(part.id, answering)
      const key = keyOf([scope, part.id])
      const store = this.#holder(home, key, answering)
      fetches.push(store)
      const wasAsked = now - (this.#saves.get(key) ?? Number.NEGATIVE_INFINITY) < SAVE_PATIENCE_MS
      saves.push(store !== undefined || wasAsked ? undefined : home?.address)
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

  /**
   * Notes saves that a request asks for, so that the next does not ask again.
   *
   * @param scope - cache salt of the request
   * @param parts - shared parts, in order
   * @param plan - as planned for them
   * @param now - monotonic milliseconds
   */
  recordSaves (scope: string, parts: readonly PromptPart[], plan: StorePlan, now: number): void {
    parts.forEach((part, position) => {
      if (plan.saves[position] === undefined) return
      const key = keyOf([scope, part.id])
      this.#saves.delete(key)
      this.#saves.set(key, now)
    })
    while (this.#saves.size > REMEMBERED_SAVES) {
      const oldest = this.#saves.keys().next()
      if (oldest.done === true) break
      this.#saves.delete(oldest.value)
    }
  }
}

function keyOf ([scope, id]: StoredPart): string {
  return `${scope}/${id}`
}
