/**
 * Finds where the events of a server-sent event stream end, without decoding them.
 *
 * Lines end with LF, CR or CRLF. An event consists of all lines up to a blank one; comments, which
 * begin with a colon, and further blank lines belong to no event.
 */

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a

/** Bytes of a line that are looked at one by one; the native search pays off only for longer lines. */
const SHORT_LINE_BYTES = 64

/** Follows a stream that may be split at any byte. Looks at each byte a constant number of times. */
export class EventScanner {
  readonly #lineEnds = new LineEnds()
  #isLineStarted = false
  #isComment = false
  #hasFields = false
  #isAfterCarriageReturn = false
  #unfinishedBytes = 0

  /** Whether the bytes scanned so far end inside an event. */
  get isInsideEvent (): boolean { return this.#hasFields || (this.#isLineStarted && !this.#isComment) }

  /** Bytes scanned since the end of the last event. */
  get unfinishedBytes (): number { return this.#unfinishedBytes }

  /**
   * Scans up to the end of the next event.
   *
   * @param bytes - next bytes of the stream
   * @param from - offset of the first byte that has not been scanned
   * @returns offset after the blank line that ends the event; -1 if all bytes were scanned without reaching one
   */
  scan (bytes: Buffer, from: number): number {
    for (let at = from; at < bytes.length; at += 1) {
      const byte = bytes[at]
      const isSecondOfLineEnd = byte === LINE_FEED && this.#isAfterCarriageReturn
      this.#isAfterCarriageReturn = byte === CARRIAGE_RETURN
      if (isSecondOfLineEnd) continue
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        if (!this.#isLineStarted) this.#isComment = byte === COLON
        this.#isLineStarted = true
        at = this.#lineEnds.next(bytes, at + 1) - 1
      } else if (this.#endLine()) {
        this.#unfinishedBytes = 0
        return this.#afterLineEnd(bytes, at)
      }
    }
    this.#unfinishedBytes += bytes.length - from
    return -1
  }

  /** @returns whether the line that ends here is the blank line after an event */
  #endLine (): boolean {
    const isBlank = !this.#isLineStarted
    const endsEvent = isBlank && this.#hasFields
    this.#hasFields = !isBlank && (this.#hasFields || !this.#isComment)
    this.#isLineStarted = false
    return endsEvent
  }

  /** Includes the LF of a CRLF, if it has arrived. */
  #afterLineEnd (bytes: Buffer, at: number): number {
    if (!this.#isAfterCarriageReturn || bytes[at + 1] !== LINE_FEED) return at + 1
    this.#isAfterCarriageReturn = false
    return at + 2
  }
}

/** Finds line ends in one buffer after the other. */
class LineEnds {
  #bytes: Buffer | undefined
  #lineFeed = -1
  #carriageReturn = -1

  /**
   * @param bytes - buffer to search
   * @param from - offset to search from; not lower than in the call before with the same buffer
   * @returns offset of the first LF or CR; the length of the buffer if there is none
   */
  next (bytes: Buffer, from: number): number {
    const short = Math.min(bytes.length, from + SHORT_LINE_BYTES)
    for (let at = from; at < short; at += 1) {
      const byte = bytes[at]
      if (byte === LINE_FEED || byte === CARRIAGE_RETURN) return at
    }
    return short === bytes.length ? short : this.#search(bytes, short)
  }

  /** What was found stays valid until it is passed, so that a buffer without one of the two is searched once. */
  #search (bytes: Buffer, from: number): number {
    if (this.#bytes !== bytes) {
      this.#bytes = bytes
      this.#lineFeed = -1
      this.#carriageReturn = -1
    }
    if (this.#lineFeed < from) this.#lineFeed = indexOrEnd(bytes, LINE_FEED, from)
    if (this.#carriageReturn < from) this.#carriageReturn = indexOrEnd(bytes, CARRIAGE_RETURN, from)
    return Math.min(this.#lineFeed, this.#carriageReturn)
  }
}

function indexOrEnd (bytes: Buffer, byte: number, from: number): number {
  const at = bytes.indexOf(byte, from)
  return at < 0 ? bytes.length : at
}
