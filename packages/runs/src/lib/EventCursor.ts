/**
 * Position in a stream of numbered server-sent events.
 *
 * A run that is resumed at another endpoint continues after the last forwarded
 * event, so only complete events are forwarded, each exactly once.
 */

import { EventScanner } from './EventScanner.js'

const EMPTY = Buffer.alloc(0)

/** Splits bytes into complete events and drops events that were already forwarded. */
export class EventCursor {
  #pending: Buffer = EMPTY
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

  /** Discards an incomplete event after its run was interrupted. */
  discardPartialEvent (): void {
    this.#pending = EMPTY
    this.#scanner = new EventScanner()
  }

  /** @returns comments and line ends after the last event, which belong to no event; empty inside an event */
  takeRemainder (): Buffer {
    const remainder = this.hasPartialEvent ? EMPTY : this.#pending
    this.#pending = EMPTY
    return remainder
  }

  /**
   * @param chunk - next bytes of the run
   * @returns complete new events; empty if there are none
   */
  push (chunk: Buffer): Buffer {
    const bytes = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk])
    const newEvents: Buffer[] = []
    let start = 0
    for (let end = this.#scanner.scan(bytes, this.#pending.length); end >= 0; end = this.#scanner.scan(bytes, end)) {
      const event = bytes.subarray(start, end)
      start = end
      const id = parseEventId(event)
      const isDuplicate = id !== undefined && this.#lastId !== undefined && id <= this.#lastId
      if (isDuplicate) continue
      if (id !== undefined) this.#lastId = id
      newEvents.push(event)
    }
    this.#pending = Buffer.from(bytes.subarray(start))
    return newEvents.length === 1 ? newEvents[0] ?? EMPTY : Buffer.concat(newEvents)
  }
}

function parseEventId (event: Buffer): number | undefined {
  const match = /^id: ?(\d+)/m.exec(event.toString('latin1'))
  return match === null ? undefined : Number(match[1])
}
