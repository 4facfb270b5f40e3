/** Extracts the data lines of a server-sent event stream. */

const DATA_PREFIX = 'data:'

/** Buffers bytes until lines are complete. */
export class ServerSentEventReader {
  readonly #decoder = new TextDecoder()
  #pending = ''

  /**
   * Processes the next bytes of the stream.
   *
   * @param bytes - next bytes, split at any position
   * @returns payloads of the lines that are now complete; an unfinished last line is never returned
   */
  push (bytes: Uint8Array): string[] {
    const lines = (this.#pending + this.#decoder.decode(bytes, { stream: true })).split('\n')
    this.#pending = lines.pop() ?? ''
    return lines.filter(line => line.startsWith(DATA_PREFIX)).map(line => line.slice(DATA_PREFIX.length).trim())
  }
}
