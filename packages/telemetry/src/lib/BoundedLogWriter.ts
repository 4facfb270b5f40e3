/**
 * Writes log lines without ever waiting for their reader.
 *
 * Standard output may be a pipe that nobody reads, and Node.js writes to pipes synchronously.
 * Lines are therefore held in a bounded buffer and written by the thread pool, one batch at
 * a time. When the buffer is full, further lines are dropped, counted, and reported in a line
 * of their own.
 */
import { write } from 'node:fs'
import { describeDroppedLines } from './describeDroppedLines.js'
import { writeWithoutWaiting } from './writeWithoutWaiting.js'

/** Writes bytes, and calls back with an error or the number of bytes written. */
export type ByteSink = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void

/** Capacity of the buffer in bytes: a few seconds of lines at the rate of a busy host. */
const BUFFER_BYTES = 512 * 1024

/** Delay during which lines are collected into one write, in milliseconds. */
const BATCH_DELAY_MS = 50

/** Delay before a write is retried because the sink was full, in milliseconds. */
const RETRY_MS = 100

const STANDARD_OUTPUT = 1

const EMPTY = Buffer.alloc(0)

/** Buffers lines up to a limit and writes them to a sink. */
export class BoundedLogWriter {
  #lines: string[] = []
  #bytes = 0
  #dropped = 0
  #totalDropped = 0
  #timer: NodeJS.Timeout | undefined
  #isWriting = false
  readonly #flushWaiters: Array<() => void> = []
  /** Rest of the current batch that the full sink has not accepted; empty while the thread pool writes the batch. */
  #unwritten: Buffer = EMPTY
  #hasEnded = false

  /**
   * @param sink - writes bytes asynchronously
   * @param describeDropped - returns the line that reports the number of dropped lines
   * @param finalSink - writes as many bytes as possible without blocking and returns their number; called when the process ends
   */
  constructor (
    private readonly sink: ByteSink = (bytes, done) => { write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, done) },
    private readonly describeDropped = (count: number) => describeDroppedLines('', count),
    private readonly finalSink: (bytes: Buffer) => number = bytes => writeWithoutWaiting(STANDARD_OUTPUT, bytes)
  ) {}

  /** Number of lines dropped so far. */
  get dropped (): number { return this.#totalDropped }

  /** @param line - line without a line end */
  write (line: string): void {
    if (this.#bytes + line.length > BUFFER_BYTES) {
      this.#dropped += 1
      this.#totalDropped += 1
      return
    }
    this.#lines.push(line)
    this.#bytes += line.length + 1
    this.#schedule(BATCH_DELAY_MS)
  }

  /**
   * Writes the buffered lines before the process ends.
   *
   * @param limitMs - longest wait until the lines are written, in milliseconds
   */
  async flush (limitMs: number): Promise<void> {
    clearTimeout(this.#timer)
    this.#timer = undefined
    if (!this.#isWriting) this.#flush()
    if (this.#isIdle) return
    await new Promise<void>(resolve => {
      this.#flushWaiters.push(resolve)
      setTimeout(resolve, limitMs)
    })
  }

  get #isIdle (): boolean { return !this.#isWriting && this.#lines.length === 0 }

  /**
   * Writes as much of the buffer as possible without blocking, and ignores all later lines; called when
   * the process ends. A batch that the thread pool is already writing is left to the thread pool.
   */
  flushSync (): void {
    this.#hasEnded = true
    this.#appendDroppedNotice()
    const lines = this.#lines.map(line => `${line}\n`).join('')
    this.#lines = []
    let rest = Buffer.concat([this.#unwritten, Buffer.from(lines)])
    this.#unwritten = EMPTY
    while (rest.length > 0) {
      const taken = this.finalSink(rest)
      if (taken === 0) return
      rest = rest.subarray(taken)
    }
  }

  #schedule (delayMs: number): void {
    if (this.#hasEnded || this.#isWriting || this.#timer !== undefined) return
    this.#timer = setTimeout(() => {
      this.#timer = undefined
      this.#flush()
    }, delayMs)
    this.#timer.unref()
  }

  #appendDroppedNotice (): void {
    if (this.#dropped === 0) return
    this.#lines.push(this.describeDropped(this.#dropped))
    this.#dropped = 0
  }

  #flush (): void {
    this.#appendDroppedNotice()
    if (this.#lines.length === 0) return
    const bytes = Buffer.from(`${this.#lines.join('\n')}\n`)
    this.#lines = []
    this.#bytes = bytes.length
    this.#isWriting = true
    this.#writeAll(bytes)
  }

  #writeAll (bytes: Buffer): void {
    if (this.#hasEnded) return
    this.#unwritten = EMPTY
    this.sink(bytes, (error, written) => {
      const isFull = error !== null && 'code' in error && error.code === 'EAGAIN'
      const rest = error === null ? bytes.subarray(written) : bytes
      if (isFull || (error === null && rest.length > 0)) {
        this.#unwritten = rest
        setTimeout(() => { this.#writeAll(rest) }, isFull ? RETRY_MS : 0).unref()
        return
      }
      // Any other error means that standard output is closed, so the error can't be reported anywhere.
      this.#isWriting = false
      this.#bytes = this.#lines.reduce((sum, line) => sum + line.length + 1, 0)
      if (this.#flushWaiters.length > 0) this.#flush()
      else this.#schedule(BATCH_DELAY_MS)
      if (this.#isIdle) {
        for (const wake of this.#flushWaiters.splice(0)) wake()
      }
    })
  }
}
