/**
 * Writes log lines without ever waiting for whoever reads them.
 *
 * Standard output may be a pipe that nobody empties, and Node.js writes to pipes
 * synchronously. Lines therefore wait in a bounded buffer and are written by the
 * thread pool, one batch at a time; lines that find the buffer full are dropped,
 * counted, and reported in a line of their own.
 */
import { write } from 'node:fs'
import { describeDroppedLines } from './describeDroppedLines.js'
import { writeWithoutWaiting } from './writeWithoutWaiting.js'

/** Writes bytes and calls back when they were taken. */
export type ByteSink = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void

/** Most bytes that wait: some seconds of lines at a busy host's rate. */
const BUFFER_BYTES = 512 * 1024

/** Pause in which lines are gathered into one write, in milliseconds. */
const BATCH_DELAY_MS = 50

/** Pause before a write is tried again after the sink was full, in milliseconds. */
const RETRY_MS = 100

const STANDARD_OUTPUT = 1

const EMPTY = Buffer.alloc(0)

/** Bounded buffer in front of a sink. */
export class BoundedLogWriter {
  #lines: string[] = []
  #bytes = 0
  #dropped = 0
  #totalDropped = 0
  #timer: NodeJS.Timeout | undefined
  #isWriting = false
  readonly #flushWaiters: Array<() => void> = []
  /** What a full sink has not taken yet of the batch under way; empty while the thread pool has it. */
  #unwritten: Buffer = EMPTY
  #hasEnded = false

  /**
   * @param sink - where the bytes go
   * @param describeDropped - makes the line that says how many lines were dropped
   * @param finalSink - takes what it can at once, and returns how many bytes; called when the process ends
   */
  constructor (
    private readonly sink: ByteSink = (bytes, done) => { write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, done) },
    private readonly describeDropped = (count: number) => describeDroppedLines('', count),
    private readonly finalSink: (bytes: Buffer) => number = bytes => writeWithoutWaiting(STANDARD_OUTPUT, bytes)
  ) {}

  /** Lines dropped so far. */
  get dropped (): number { return this.#totalDropped }

  /** @param line - without a line end */
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
   * Writes what waits, before the process ends.
   *
   * @param limitMs - longest wait for whoever reads the lines, in milliseconds
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
   * Writes what waits as far as it is taken without waiting, and nothing after that; for
   * the end of a process. What the thread pool has just begun to write is left to it.
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
      // Any other error means that nobody will ever read it: there is nowhere left to say so.
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
