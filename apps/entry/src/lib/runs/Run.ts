/** Answer that is being generated: buffered completely, and read by any number of readers from any offset. */
import { DispatchRecord, type Refusal } from '@eelgrassmux/schema/Refusal'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { FinishReason } from '@eelgrassmux/runs/AnswerAssembler'

/** How a run ended. */
export type RunEnd =
  | { readonly kind: 'complete', readonly finishReason: FinishReason, readonly promptTokens: number, readonly cachedTokens: number }
  | { readonly kind: 'failed', readonly refusal: Refusal }

/** Chunk of the answer, or its end. */
export type RunChunk =
  | { readonly kind: 'tokens', readonly offset: number, readonly tokens: readonly string[] }
  | RunEnd

/** Handle of one reader. */
export interface RunReader {
  /**
   * @param position - offset after the last token read
   * @param isEnd - whether the end was read as well
   */
  advance (position: number, isEnd: boolean): void
  detach (): void
}

/** Tokens that the furthest reader may lag behind before the run waits. */
const MAX_READER_LAG_TOKENS = 2048

/** Buffers the tokens of one run and tracks its readers. */
export class Run {
  readonly dispatch = new DispatchRecord()
  readonly startedAt: number
  readonly #tokens: string[] = []
  readonly #listeners = new Set<() => void>()
  #readers = 0
  #unreadSince: number | undefined
  #furthestOffset = 0
  #wasReadToEnd = false
  #end: RunEnd | undefined
  #version: string | undefined

  /**
   * @param id - run id, which the caller knows
   * @param customer - name of the customer that owns the run
   * @param clock - time source
   */
  constructor (readonly id: string, readonly customer: string, private readonly clock: Clock) {
    this.startedAt = clock.now()
    this.#unreadSince = this.startedAt
  }

  get length (): number { return this.#tokens.length }
  get end (): RunEnd | undefined { return this.#end }
  get readers (): number { return this.#readers }
  /** Whether some reader has read everything, including the end. */
  get wasReadToEnd (): boolean { return this.#wasReadToEnd }
  /** Weight version of the answer; undefined while it has no tokens. */
  get version (): string | undefined { return this.#version }
  /** All tokens so far. */
  get tokens (): readonly string[] { return this.#tokens }

  /**
   * @param now - current time, in monotonic milliseconds
   * @returns time for which the run has had no reader, in milliseconds
   */
  unreadMs (now: number): number {
    return this.#unreadSince === undefined ? 0 : now - this.#unreadSince
  }

  /**
   * Appends tokens.
   *
   * @param tokens - next tokens of the answer
   * @param version - weight version that generated the tokens
   */
  push (tokens: readonly string[], version: string): void {
    this.#version ??= version
    this.#tokens.push(...tokens)
    this.#notifyReaders()
  }

  /** @param end - how the run ended; ignored if the run has already ended */
  finish (end: RunEnd): void {
    this.#end ??= end
    this.#notifyReaders()
  }

  /** Whether even the furthest reader lags so much that the run should wait. */
  get needsBackpressure (): boolean {
    return this.#readers > 0 && this.#tokens.length - this.#furthestOffset > MAX_READER_LAG_TOKENS
  }

  /**
   * Waits while even the furthest reader lags too much, so that a slow caller slows down its engine.
   *
   * @param signal - aborts the wait
   */
  async waitForReaders (signal: AbortSignal): Promise<void> {
    while (this.needsBackpressure && !signal.aborted) await this.#nextChange(signal)
  }

  /**
   * Adds a reader.
   *
   * @param offset - offset of the first token to read
   * @param wake - called after each change of the run
   * @returns the reader's handle
   */
  attach (offset: number, wake: () => void): RunReader {
    this.#readers += 1
    this.#unreadSince = undefined
    this.#furthestOffset = Math.max(this.#furthestOffset, offset)
    this.#listeners.add(wake)
    let isAttached = true
    return {
      advance: (position, isEnd) => {
        this.#furthestOffset = Math.max(this.#furthestOffset, position)
        if (isEnd) this.#wasReadToEnd = true
      },
      detach: () => {
        if (!isAttached) return
        isAttached = false
        this.#listeners.delete(wake)
        this.#readers -= 1
        if (this.#readers === 0) this.#unreadSince = this.clock.now()
        this.#notifyReaders()
      }
    }
  }

  /**
   * @param position - offset of the first token
   * @returns the tokens from that offset on, or the end; undefined if there is nothing to read yet
   */
  chunkFrom (position: number): RunChunk | undefined {
    if (position < this.#tokens.length) return { kind: 'tokens', offset: position, tokens: this.#tokens.slice(position) }
    return this.#end
  }

  /**
   * Reads the answer from an offset to its end.
   *
   * @param offset - offset of the first token
   * @param signal - aborted when the reader disconnects
   */
  async * read (offset: number, signal: AbortSignal): AsyncGenerator<RunChunk> {
    const reader = this.attach(offset, () => {})
    let position = offset
    try {
      while (!signal.aborted) {
        const chunk = this.chunkFrom(position)
        if (chunk === undefined) {
          await this.#nextChange(signal)
          continue
        }
        yield chunk
        if (chunk.kind === 'tokens') position += chunk.tokens.length
        reader.advance(position, chunk.kind !== 'tokens')
        if (chunk.kind !== 'tokens') return
      }
    } finally {
      reader.detach()
    }
  }

  /**
   * Waits for the first token or the end.
   *
   * @param signal - aborts the wait
   */
  async waitForStart (signal: AbortSignal): Promise<void> {
    while (this.#tokens.length === 0 && this.#end === undefined && !signal.aborted) await this.#nextChange(signal)
  }

  async #nextChange (signal: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      const wake = (): void => {
        this.#listeners.delete(wake)
        signal.removeEventListener('abort', wake)
        resolve()
      }
      this.#listeners.add(wake)
      signal.addEventListener('abort', wake, { once: true })
    })
  }

  #notifyReaders (): void {
    for (const wake of [...this.#listeners]) wake()
  }
}
