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

/** Remembers sends. Being wrong costs time, never correctness: the engine itself knows what it holds. */
export class PromptMemory {
  /** For each part and scope, when it was last sent to which engine; the oldest part first. */
  readonly #sends = new Map<string, Map<string, number>>()

  /**
   * @param scope - cache salt under which the engine keeps the parts
   * @param parts - parts that the engine has read, or will have read in a moment
   * @param endpoint - engine
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
   * @param endpoint - engine
   * @param now - monotonic milliseconds
   * @returns tokens at the beginning of the chain that the engine probably holds
   */
  heldTokens (scope: string, parts: readonly PromptPart[], endpoint: string, now: number): number {
    let tokens = 0
    for (const part of parts) {
      const sentAt = this.#sends.get(keyOf(scope, part))?.get(endpoint)
      if (sentAt === undefined || now - sentAt > EXPECTED_RESIDENCE_MS) break
      tokens += part.tokens
    }
    return tokens
  }

  /**
   * @param scope - cache salt of the request
   * @param parts - chain of the prompt
   * @param now - monotonic milliseconds
   * @returns whether some engine probably holds the whole chain
   */
  isHeldAnywhere (scope: string, parts: readonly PromptPart[], now: number): boolean {
    const last = parts.at(-1)
    const sends = last === undefined ? undefined : this.#sends.get(keyOf(scope, last))
    return sends !== undefined && [...sends.values()].some(sentAt => now - sentAt <= EXPECTED_RESIDENCE_MS)
  }
}

function keyOf (scope: string, part: PromptPart): string {
  return `${scope}/${part.id}`
}
