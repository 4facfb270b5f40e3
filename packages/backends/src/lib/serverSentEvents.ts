/** Reads the data lines of a server-sent event stream. */

const DATA_PREFIX = 'data:'

/**
 * Splits a byte stream into event payloads. An event cut off by the stream's end is dropped.
 *
 * @param body - the response body
 * @returns one string for each data line
 */
export async function * readServerSentEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let pending = ''
  for await (const bytes of body) {
    pending += decoder.decode(bytes, { stream: true })
    let end = pending.indexOf('\n')
    while (end >= 0) {
      const line = pending.slice(0, end).trim()
      pending = pending.slice(end + 1)
      if (line.startsWith(DATA_PREFIX)) yield line.slice(DATA_PREFIX.length).trim()
      end = pending.indexOf('\n')
    }
  }
}
