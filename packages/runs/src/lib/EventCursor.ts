/**
 * Position in a stream of numbered server-sent events.
 *
 * A run that is resumed at another endpoint continues after the last forwarded
 * event, so only complete events are forwarded, each exactly once.
 */

const LINE_FEED = 0x0a
const EMPTY = Buffer.alloc(0)

/** Splits bytes into complete events and drops events that were already forwarded. */
export class EventCursor {
  #pending: Buffer = EMPTY
  #lastId: number | undefined

  /** @param lastId - id of the event after which the caller asked to continue */
  constructor (lastId?: number) {
    this.#lastId = lastId
  }

  /** Id of the last complete event. */
  get lastId (): number | undefined { return this.#lastId }
  /** Whether the bytes received so far end inside an event. */
  get hasPartialEvent (): boolean { return this.#pending.length > 0 }

  /** Discards an incomplete event after its run was interrupted. */
  discardPartialEvent (): void {
    this.#pending = EMPTY
  }

  /**
   * @param chunk - next bytes of the run
   * @returns complete new events; empty if there are none
   */
  push (chunk: Buffer): Buffer {
    let bytes = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk])
    const newEvents: Buffer[] = []
    for (;;) {
      const end = findEventEnd(bytes)
      if (end < 0) break
      const event = bytes.subarray(0, end)
      bytes = bytes.subarray(end)
      const id = parseEventId(event)
      const isDuplicate = id !== undefined && this.#lastId !== undefined && id <= this.#lastId
      if (isDuplicate) continue
      if (id !== undefined) this.#lastId = id
      newEvents.push(event)
    }
    this.#pending = Buffer.from(bytes)
    return newEvents.length === 1 ? newEvents[0] ?? EMPTY : Buffer.concat(newEvents)
  }
}

/** Returns the offset after the blank line that ends the first event, or -1. */
function findEventEnd (bytes: Buffer): number {
  for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return -1
}

function parseEventId (event: Buffer): number | undefined {
  const match = /^id: ?(\d+)/m.exec(event.toString('latin1'))
  return match === null ? undefined : Number(match[1])
}
