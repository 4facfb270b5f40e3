/** Extracts the data lines of a server-sent event stream. */

const DATA_PREFIX = 'data:'

/** Longest line, in characters. */
const MAX_LINE_LENGTH = 1024 * 1024

/** Buffers bytes until lines are complete. */
export class ServerSentEventReader {
  readonly #decoder = new TextDecoder()
  /** Pieces of the unfinished last line. */
  #pending: string[] = []
  #pendingLength = 0

  /**
   * Processes the next bytes of the stream.
   *
   * @param bytes - next bytes, split at any position
   * @returns payloads of the lines that are now complete; an unfinished last line is never returned
   * @throws if a line has no end within {@link MAX_LINE_LENGTH}
   */
  push (bytes: Uint8Array): string[] {
    const [first = '', ...rest] = this.#decoder.decode(bytes, { stream: true }).split('\n')
    this.#extendPending(first)
    const last = rest.pop()
    if (last === undefined) return []
    const lines = [this.#pending.join(''), ...rest]
    this.#pending = [last]
    this.#pendingLength = last.length
    return lines.filter(line => line.startsWith(DATA_PREFIX)).map(line => line.slice(DATA_PREFIX.length).trim())
  }

  #extendPending (piece: string): void {
    this.#pending.push(piece)
    this.#pendingLength += piece.length
    if (this.#pendingLength > MAX_LINE_LENGTH) throw new Error('a line of the stream is too long')
  }
}
