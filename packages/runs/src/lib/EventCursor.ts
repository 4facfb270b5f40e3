/**
 * Position in a stream of numbered server-sent events.
 *
 * A run that is resumed at another endpoint continues after the last forwarded
 * event, so only complete events are forwarded, each exactly once.
 */

import { EventScanner } from './EventScanner.js'
import { GrowingBuffer } from './GrowingBuffer.js'

const EMPTY = Buffer.alloc(0)

/** Splits bytes into complete events and drops events that were already forwarded. */
export class EventCursor {
  /** Bytes since the end of the last event. */
  readonly #pending = new GrowingBuffer()
  #scanner = new EventScanner()
  #lastId: number | undefined

  /** @param lastId - id of the event after which the caller asked to continue */
  constructor (lastId?: number) {
    this.#lastId = lastId
  }

  /** Id of the last complete event. */
  get lastId (): number | undefined { return this.#lastId }
  /** Whether the bytes received so far end inside an event. */
  get hasPartialEvent (): boolean { return this.#scanner.isInsideEvent }

  /** Bytes received since the end of the last event. */
  get unfinishedBytes (): number { return this.#scanner.unfinishedBytes }

  /** Memory that the bytes since the end of the last event occupy, in bytes. */
  get keptBytes (): number { return this.#pending.capacity }

  /** Discards an incomplete event after its run was interrupted. */
  discardPartialEvent (): void {
    this.#pending.clear()
    this.#scanner = new EventScanner()
  }

  /** @returns comments and line ends after the last event, which belong to no event; empty inside an event */
  takeRemainder (): Buffer {
    const remainder = this.#pending.take()
    return this.hasPartialEvent ? EMPTY : remainder
  }

  /**
   * @param chunk - next bytes of the run
   * @returns complete new events; empty if there are none
   */
  push (chunk: Buffer): Buffer {
    const newEvents: Buffer[] = []
    let start = 0
    // Events that follow each other in the chunk are passed on in one piece.
    let newSince = 0
    for (let end = this.#scanner.scan(chunk, 0); end >= 0; end = this.#scanner.scan(chunk, end)) {
      if (this.#pending.length > 0) {
        const event = this.#completePending(chunk.subarray(0, end))
        if (this.#isNew(event)) newEvents.push(event)
        newSince = end
      } else if (!this.#isNew(chunk.subarray(start, end))) {
        newEvents.push(chunk.subarray(newSince, start))
        newSince = end
      }
      start = end
    }
    newEvents.push(chunk.subarray(newSince, start))
    this.#pending.append(chunk.subarray(start))
    return joinPieces(newEvents)
  }

  #completePending (rest: Buffer): Buffer {
    this.#pending.append(rest)
    return this.#pending.take()
  }

  /** Notes the id of an event. @returns whether it was not passed on before */
  #isNew (event: Buffer): boolean {
    const id = parseEventId(event)
    if (id === undefined) return true
    if (this.#lastId !== undefined && id <= this.#lastId) return false
    this.#lastId = id
    return true
  }
}

function joinPieces (pieces: readonly Buffer[]): Buffer {
  const present = pieces.filter(({ length }) => length > 0)
  return present.length === 1 ? present[0] ?? EMPTY : Buffer.concat(present)
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const SPACE = 0x20
const ZERO = 0x30
const NINE = 0x39

/** What an id line begins with. */
const ID_FIELD = Buffer.from('id:')

/** Reads the number in the first line of an event that has one as its id. */
function parseEventId (event: Buffer): number | undefined {
  let isLineStart = true
  for (let at = 0; at < event.length; at += 1) {
    if (isLineStart && event[at] === ID_FIELD[0] && event[at + 1] === ID_FIELD[1] && event[at + 2] === ID_FIELD[2]) {
      const id = parseDigits(event, at + ID_FIELD.length)
      if (id !== undefined) return id
    }
    isLineStart = event[at] === LINE_FEED || event[at] === CARRIAGE_RETURN
  }
  return undefined
}

function parseDigits (event: Buffer, from: number): number | undefined {
  const start = event[from] === SPACE ? from + 1 : from
  let end = start
  while (end < event.length && isDigit(event[end])) end += 1
  return end === start ? undefined : Number(event.toString('latin1', start, end))
}

function isDigit (byte = 0): boolean {
  return byte >= ZERO && byte <= NINE
}
