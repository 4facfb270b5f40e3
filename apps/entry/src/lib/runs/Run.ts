/** One answer in the making: kept whole, read by any number of readers from any offset. */
import { DispatchRecord, type Refusal } from '@eelgrassmux/schema/Refusal'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { FinishReason } from '@eelgrassmux/runs/AnswerAssembler'

/** How a run ended. */
export type RunEnd =
  | { readonly kind: 'complete', readonly finishReason: FinishReason, readonly promptTokens: number, readonly cachedTokens: number }
  | { readonly kind: 'failed', readonly refusal: Refusal }

/** A piece of the answer for a reader. */
export type RunPiece =
  | { readonly kind: 'tokens', readonly offset: number, readonly tokens: readonly string[] }
  | RunEnd

/** One reader of a run. */
export interface RunReader {
  /**
   * @param position - offset behind the last token taken
   * @param isEnd - whether the end was taken too
   */
  advance (position: number, isEnd: boolean): void
  detach (): void
}

/** Tokens a reader may lag behind before the run waits for it. */
const READER_LAG_LIMIT = 2048

/** Buffer and readers of one run. */
export class Run {
  readonly dispatch = new DispatchRecord()
  readonly startedAt: number
  readonly #tokens: string[] = []
  readonly #wakers = new Set<() => void>()
  #readers = 0
  #readersGoneAt: number | undefined
  #furthestRead = 0
  #wasReadToEnd = false
  #end: RunEnd | undefined
  #version: string | undefined

  /**
   * @param id - run id, known to the caller
   * @param customer - whose run it is
   * @param clock - time
   */
  constructor (readonly id: string, readonly customer: string, private readonly clock: Clock) {
    this.startedAt = clock.now()
    this.#readersGoneAt = this.startedAt
  }

  get length (): number { return this.#tokens.length }
  get end (): RunEnd | undefined { return this.#end }
  get readers (): number { return this.#readers }
  /** Whether some reader has taken everything, the end included. */
  get wasReadToEnd (): boolean { return this.#wasReadToEnd }
  /** Weight version of the answer, once it has a token. */
  get version (): string | undefined { return this.#version }
  /** All tokens so far. */
  get tokens (): readonly string[] { return this.#tokens }

  /**
   * @param now - monotonic milliseconds
   * @returns how long nobody has read the run, in milliseconds
   */
  unreadFor (now: number): number {
    return this.#readersGoneAt === undefined ? 0 : now - this.#readersGoneAt
  }

  /**
   * Adds tokens.
   *
   * @param tokens - the next tokens of the answer
   * @param version - weight version they came from
   */
  push (tokens: readonly string[], version: string): void {
    this.#version ??= version
    this.#tokens.push(...tokens)
    this.#wake()
  }

  /** @param end - how the run ended; the first end counts */
  finish (end: RunEnd): void {
    this.#end ??= end
    this.#wake()
  }

  /** Whether the furthest reader lags so far that the run should wait for it. */
  get isTooFarAhead (): boolean {
    return this.#readers > 0 && this.#tokens.length - this.#furthestRead > READER_LAG_LIMIT
  }

  /**
   * Waits while the furthest reader lags too far, so that a slow caller slows its engine.
   *
   * @param signal - ends the wait
   */
  async waitForRoom (signal: AbortSignal): Promise<void> {
    while (this.isTooFarAhead && !signal.aborted) await this.#change(signal)
  }

  /**
   * Adds a reader.
   *
   * @param offset - first token it wants
   * @param wake - called after each change of the run
   * @returns the reader's handle
   */
  attach (offset: number, wake: () => void): RunReader {
    this.#readers += 1
    this.#readersGoneAt = undefined
    this.#furthestRead = Math.max(this.#furthestRead, offset)
    this.#wakers.add(wake)
    let isAttached = true
    return {
      advance: (position, isEnd) => {
        this.#furthestRead = Math.max(this.#furthestRead, position)
        if (isEnd) this.#wasReadToEnd = true
      },
      detach: () => {
        if (!isAttached) return
        isAttached = false
        this.#wakers.delete(wake)
        this.#readers -= 1
        if (this.#readers === 0) this.#readersGoneAt = this.clock.now()
        this.#wake()
      }
    }
  }

  /**
   * @param position - first token wanted
   * @returns what there is from there on, or undefined if nothing yet
   */
  pieceFrom (position: number): RunPiece | undefined {
    if (position < this.#tokens.length) return { kind: 'tokens', offset: position, tokens: this.#tokens.slice(position) }
    return this.#end
  }

  /**
   * Reads the answer from an offset to its end.
   *
   * @param offset - first token wanted
   * @param signal - aborted when the reader is gone
   */
  async * read (offset: number, signal: AbortSignal): AsyncGenerator<RunPiece> {
    const reader = this.attach(offset, () => {})
    let position = offset
    try {
      while (!signal.aborted) {
        const piece = this.pieceFrom(position)
        if (piece === undefined) {
          await this.#change(signal)
          continue
        }
        yield piece
        if (piece.kind === 'tokens') position += piece.tokens.length
        reader.advance(position, piece.kind !== 'tokens')
        if (piece.kind !== 'tokens') return
      }
    } finally {
      reader.detach()
    }
  }

  /**
   * Waits for the first token or the end.
   *
   * @param signal - ends the wait
   */
  async waitForStart (signal: AbortSignal): Promise<void> {
    while (this.#tokens.length === 0 && this.#end === undefined && !signal.aborted) await this.#change(signal)
  }

  async #change (signal: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      const wake = (): void => {
        this.#wakers.delete(wake)
        signal.removeEventListener('abort', wake)
        resolve()
      }
      this.#wakers.add(wake)
      signal.addEventListener('abort', wake, { once: true })
    })
  }

  #wake (): void {
    for (const wake of [...this.#wakers]) wake()
  }
}
