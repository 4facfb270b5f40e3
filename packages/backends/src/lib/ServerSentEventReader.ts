/** Takes the data lines out of a server-sent event stream. */

const DATA_PREFIX = 'data:'

/** Collects bytes until lines are whole. */
export class ServerSentEventReader {
  readonly #decoder = new TextDecoder()
  #pending = ''

  /**
   * Takes the next bytes of the stream.
   *
   * @param bytes - in any division
   * @returns the payloads that are whole now; one that the stream cuts off is never returned
   */
  push (bytes: Uint8Array): string[] {
    const lines = (this.#pending + this.#decoder.decode(bytes, { stream: true })).split('\n')
    this.#pending = lines.pop() ?? ''
    return lines.filter(line => line.startsWith(DATA_PREFIX)).map(line => line.slice(DATA_PREFIX.length).trim())
  }
}
