/**
 * Puts one answer together from token chunks that may come late, twice or out of
 * order, from one engine or, after a failure, from another.
 *
 * Each token has an offset. What is handed on is always a gapless run from
 * offset 0; the answer is complete only when an end mark names its length and
 * all tokens up to it are there.
 */

/** Why an answer ended; taken over from the engine. */
export type FinishReason = 'stop' | 'length'

/** A run of consecutive tokens. */
export interface TokenChunk {
  readonly offset: number
  readonly tokens: readonly string[]
  /** Weight version that produced them. */
  readonly version: string
}

/** The engine's statement that the answer is `length` tokens long. */
export interface EndMarker {
  readonly length: number
  readonly finishReason: FinishReason
}

/** What a chunk did. */
export type ChunkOutcome =
  | { readonly kind: 'progress', readonly tokens: readonly string[] }
  | { readonly kind: 'repeat' }
  | { readonly kind: 'early' }
  | { readonly kind: 'version-mismatch', readonly version: string }

/** Tokens kept ahead of a gap; more are dropped and asked for again. */
const MAX_BUFFERED_TOKENS = 4096

/** Assembles one answer under one weight version. */
export class AnswerAssembler {
  readonly #tokens: string[] = []
  readonly #buffered = new Map<number, string>()
  #end: EndMarker | undefined

  /** @param version - weight version the run was placed under */
  constructor (readonly version: string) {}

  /** Offset of the next token wanted. */
  get nextOffset (): number { return this.#tokens.length }
  /** All tokens so far, without a gap. */
  get tokens (): readonly string[] { return this.#tokens }
  /** The end mark, once the answer is whole. */
  get completed (): EndMarker | undefined {
    return this.#end !== undefined && this.#tokens.length === this.#end.length ? this.#end : undefined
  }

  /**
   * Takes a chunk.
   *
   * @param chunk - tokens with their offset
   * @returns tokens that can be handed on now, or why there are none
   */
  accept (chunk: TokenChunk): ChunkOutcome {
    if (chunk.version !== this.version) return { kind: 'version-mismatch', version: chunk.version }
    const before = this.#tokens.length
    chunk.tokens.forEach((token, position) => { this.#acceptToken(chunk.offset + position, token) })
    this.#appendBuffered()
    const tokens = this.#tokens.slice(before)
    if (tokens.length > 0) return { kind: 'progress', tokens }
    return chunk.offset + chunk.tokens.length <= before ? { kind: 'repeat' } : { kind: 'early' }
  }

  /**
   * Takes the end mark; tokens may still be missing.
   *
   * @param end - length and reason
   * @returns false if it contradicts tokens that were handed on already: the answer can't become whole
   */
  finish (end: EndMarker): boolean {
    if (end.length < this.#tokens.length) return false
    this.#end ??= end
    return end.length === this.#end.length
  }

  #acceptToken (offset: number, token: string): void {
    if (offset < this.#tokens.length) return
    if (offset === this.#tokens.length) this.#tokens.push(token)
    else if (this.#buffered.size < MAX_BUFFERED_TOKENS) this.#buffered.set(offset, token)
  }

  #appendBuffered (): void {
    for (;;) {
      const token = this.#buffered.get(this.#tokens.length)
      if (token === undefined) break
      this.#buffered.delete(this.#tokens.length)
      this.#tokens.push(token)
    }
    for (const offset of this.#buffered.keys()) {
      if (offset < this.#tokens.length) this.#buffered.delete(offset)
    }
  }
}
