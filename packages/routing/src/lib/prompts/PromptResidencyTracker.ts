/** Estimates which engines still hold which prompt parts in memory, from this host's own sends. */
import type { PromptPart } from './promptDescription.js'

/**
 * Time after which a part is no longer expected in an engine's memory, in
 * milliseconds. The engines of a pool hold a fifth of the prompts in use, and a prompt
 * is used again after about 15 seconds on average.
 */
const EXPECTED_RESIDENCY_MS = 15_000

/** Maximum number of tracked parts; the oldest are evicted first. */
const MAX_TRACKED_PARTS = 20_000

/** Engines that are expected to hold a prompt. */
export interface PromptHolders {
  /** Whether any engine holds the whole chain. */
  readonly isHeldAnywhere: boolean
  /** @returns tokens at the beginning of the chain that the engine's incarnation holds */
  tokensAt (endpoint: string): number
}

/** Tracks sends to engines. A wrong estimate costs time but never correctness, because the engine knows what it holds. */
export class PromptResidencyTracker {
  /** Times of the last sends by scope and part, then by engine; the least recently sent part comes first. */
  readonly #sends = new Map<string, Map<string, number>>()

  /**
   * @param scope - cache salt under which the engine keeps the parts
   * @param parts - parts that the engine has prefilled or is about to prefill
   * @param endpoint - incarnation of the engine, because a restarted engine holds nothing
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
    while (this.#sends.size > MAX_TRACKED_PARTS) {
      const oldest = this.#sends.keys().next()
      if (oldest.done === true) break
      this.#sends.delete(oldest.value)
    }
  }

  /**
   * @param scope - cache salt of the request
   * @param parts - chain of the prompt
   * @param now - monotonic milliseconds
   * @returns the engines that are expected to hold the beginning of the chain
   */
  holders (scope: string, parts: readonly PromptPart[], now: number): PromptHolders {
    const sends = parts.map(part => ({ tokens: part.tokens, engines: this.#sends.get(keyOf(scope, part)) }))
    const isRecent = (sentAt: number | undefined): boolean => sentAt !== undefined && now - sentAt <= EXPECTED_RESIDENCY_MS
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
