/**
 * Assembles one answer from token chunks that may arrive late, duplicated or out of
 * order, and after a failure from a second engine.
 *
 * Each token has an offset. Tokens are released without gaps from offset 0. The
 * answer is complete once an end marker has stated its length and all tokens up to
 * that length have arrived.
 */

/** Why an answer ended, as reported by the engine. */
export type FinishReason = 'stop' | 'length'

/** A sequence of consecutive tokens. */
export interface TokenChunk {
  readonly offset: number
  readonly tokens: readonly string[]
  /** Weight version that produced the tokens. */
  readonly version: string
}

/** The engine's statement that the answer is `length` tokens long. */
export interface EndMarker {
  readonly length: number
  readonly finishReason: FinishReason
}

/** Result of accepting a chunk. */
export type ChunkOutcome =
  | { readonly kind: 'progress', readonly tokens: readonly string[] }
  | { readonly kind: 'repeat' }
  | { readonly kind: 'early' }
  | { readonly kind: 'version-mismatch', readonly version: string }

/** Most tokens buffered after a gap. Further tokens are dropped and requested again. */
const MAX_BUFFERED_TOKENS = 4096

/** Assembles one answer under one weight version. */
export class AnswerAssembler {
  readonly #tokens: string[] = []
  readonly #buffered = new Map<number, string>()
  #end: EndMarker | undefined

  /** @param version - weight version the run was placed under */
  constructor (readonly version: string) {}

  /** Offset of the first missing token. */
  get nextOffset (): number { return this.#tokens.length }
  /** All tokens before the first missing one. */
  get tokens (): readonly string[] { return this.#tokens }
  /** The end marker, once the answer is complete. */
  get completed (): EndMarker | undefined {
    return this.#end !== undefined && this.#tokens.length === this.#end.length ? this.#end : undefined
  }

  /**
   * Accepts a chunk.
   *
   * @param chunk - tokens with their offset
   * @returns tokens that can be released now, or why there are none
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
   * Accepts the end marker. Tokens may still be missing.
   *
   * @param end - length and finish reason
   * @returns false if the marker contradicts released tokens or an earlier marker, so that the answer cannot be completed
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
