/** Description of a prompt, as stated by its request. */

/** A sequence of tokens that several prompts may share as part of their prefix. Parts form a chain. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** A prompt as a chain of parts. The last part belongs to the request or its session alone. */
export interface PromptDescription {
  readonly model: string
  readonly promptTokens: number
  /** Maximum number of tokens in the answer. */
  readonly outputTokens: number
  readonly parts: readonly PromptPart[]
}

/**
 * Returns the last shared part of a prompt. Prompts with the same last shared part belong together.
 *
 * @param prompt - description of the prompt
 * @returns the part, or undefined if nothing is shared
 */
export function sharedPartOf (prompt: PromptDescription): PromptPart | undefined {
  return prompt.parts.at(-2)
}
