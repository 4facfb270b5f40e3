/** What a request states of its prompt. */

/** A run of tokens that several prompts may begin with; parts follow each other in a chain. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** A prompt as a chain of parts. The last one belongs to the request or its session alone. */
export interface PromptDescription {
  readonly model: string
  readonly promptTokens: number
  /** Most tokens that the answer may have. */
  readonly outputTokens: number
  readonly parts: readonly PromptPart[]
}

/**
 * The part that says which prompts belong together: the last one that is shared.
 *
 * @param prompt - a prompt
 * @returns its id, or undefined if nothing is shared
 */
export function sharedPartOf (prompt: PromptDescription): PromptPart | undefined {
  return prompt.parts.at(-2)
}
