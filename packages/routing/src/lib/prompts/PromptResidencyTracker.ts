/** Which engines probably still hold which prompt parts, from this host's own sends. */
import type { PromptPart } from './promptDescription.js'

/**
 * Time after which a part is no longer expected in an engine's memory, in
 * milliseconds. The users' pools hold a fifth of the prompts in use, and a prompt
 * returns after about 15 seconds on average.
 */
const EXPECTED_RESIDENCE_MS = 15_000

/** Parts remembered; beyond this the oldest are forgotten. */
const REMEMBERED_PARTS = 20_000

/** Which engines probably hold a prompt. */
export interface PromptHolders {
  /** Whether some engine holds the whole chain. */
  readonly isHeldAnywhere: boolean
  /** @returns tokens at the beginning of the chain that the engine's incarnation holds */
  tokensAt (endpoint: string): number
}

/** Remembers sends. Being wrong costs time, never correctness: the engine itself knows what it holds. */
export class PromptResidencyTracker {
  /** For each part and scope, when it was last sent to which engine; the oldest part first. */
  readonly #sends = new Map<string, Map<string, number>>()

  /**
   * @param scope - cache salt under which the engine keeps the parts
   * @param parts - parts that the engine has read, or will have read in a moment
   * @param endpoint - incarnation of the engine: one that has started again holds nothing
   * @param now - monotonic milliseconds
   */
  recordSend (scope: string, parts: readonly PromptPart[], endpoint: string, now: number): void {
    for (const part of parts) {
      const key = keyOf(scope, part)
      const engines = this.#sends.get(key) ?? new Map<string, number>()
      engines.set(endpoint, now)
      this.#sends.delete(key)
      this.#sends.set(key, engines)
    }
    while (this.#sends.size > REMEMBERED_PARTS) {
      const oldest = this.#sends.keys().next()
      if (oldest.done === true) break
      this.#sends.delete(oldest.value)
    }
  }

  /**
   * @param scope - cache salt of the request
   * @param parts - chain of the prompt
   * @param now - monotonic milliseconds
   * @returns which engines probably hold how much of it
   */
  holders (scope: string, parts: readonly PromptPart[], now: number): PromptHolders {
    const sends = parts.map(part => ({ tokens: part.tokens, engines: this.#sends.get(keyOf(scope, part)) }))
    const isRecent = (sentAt: number | undefined): boolean => sentAt !== undefined && now - sentAt <= EXPECTED_RESIDENCE_MS
    return {
      isHeldAnywhere: [...sends.at(-1)?.engines?.values() ?? []].some(isRecent),
      tokensAt: endpoint => {
        let held = 0
        for (const { tokens, engines } of sends) {
          if (!isRecent(engines?.get(endpoint))) break
          held += tokens
        }
        return held
      }
    }
  }
}

function keyOf (scope: string, part: PromptPart): string {
  return `${scope}/${part.id}`
}
