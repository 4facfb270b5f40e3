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

  /**
   * Waits while the furthest reader lags too far, so that a slow caller slows its engine.
   *
   * @param signal - ends the wait
   */
  async waitForRoom (signal: AbortSignal): Promise<void> {
    while (this.#readers > 0 && this.#tokens.length - this.#furthestRead > READER_LAG_LIMIT && !signal.aborted) {
      await this.#change(signal)
    }
  }

  /**
   * Reads the answer from an offset to its end.
   *
   * @param offset - first token wanted
   * @param signal - aborted when the reader is gone
   */
  async * read (offset: number, signal: AbortSignal): AsyncGenerator<RunPiece> {
    this.#readers += 1
    this.#readersGoneAt = undefined
    let position = offset
    try {
      while (!signal.aborted) {
        if (position < this.#tokens.length) {
          const tokens = this.#tokens.slice(position)
          yield { kind: 'tokens', offset: position, tokens }
          position += tokens.length
          this.#furthestRead = Math.max(this.#furthestRead, position)
          this.#wake()
        } else if (this.#end !== undefined) {
          yield this.#end
          this.#wasReadToEnd = true
          return
        } else {
          await this.#change(signal)
        }
      }
    } finally {
      this.#readers -= 1
      if (this.#readers === 0) this.#readersGoneAt = this.clock.now()
      this.#wake()
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
