/**
 * Position in a stream of numbered server-sent events.
 *
 * A run that goes on at another endpoint begins behind the last event that was
 * passed on, so only whole events are passed on, each exactly once.
 */

const LINE_FEED = 0x0a
const EMPTY = Buffer.alloc(0)

/** Cuts bytes into whole events and drops those that were passed on before. */
export class EventCursor {
  #rest: Buffer = EMPTY
  #lastId: number | undefined

  /** @param lastId - event behind which the caller asked to go on */
  constructor (lastId?: number) {
    this.#lastId = lastId
  }

  /** Id of the last whole event. */
  get lastId (): number | undefined { return this.#lastId }
  /** Whether the bytes so far end inside an event. */
  get hasPartialEvent (): boolean { return this.#rest.length > 0 }

  /** Forgets an incomplete event, when its run has broken off. */
  discardPartialEvent (): void {
    this.#rest = EMPTY
  }

  /**
   * @param chunk - next bytes of the run
   * @returns whole events to pass on; empty while an event is incomplete
   */
  push (chunk: Buffer): Buffer {
    let bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const wanted: Buffer[] = []
    for (;;) {
      const end = eventEnd(bytes)
      if (end < 0) break
      const event = bytes.subarray(0, end)
      bytes = bytes.subarray(end)
      const id = eventId(event)
      const wasPassedOn = id !== undefined && this.#lastId !== undefined && id <= this.#lastId
      if (wasPassedOn) continue
      if (id !== undefined) this.#lastId = id
      wanted.push(event)
    }
    this.#rest = Buffer.from(bytes)
    return wanted.length === 1 ? wanted[0] ?? EMPTY : Buffer.concat(wanted)
  }
}

/** Offset behind the blank line that ends the first event, or -1. */
function eventEnd (bytes: Buffer): number {
  for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return -1
}

function eventId (event: Buffer): number | undefined {
  const match = /^id: ?(\d+)/m.exec(event.toString('latin1'))
  return match === null ? undefined : Number(match[1])
}
