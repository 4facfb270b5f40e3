/** Properties of response bodies that follow from their headers. */
import type { ResponseHead } from './RoutedAttempt.js'

/** What marks the end of a body: its length, its last chunk, or the end of the connection. */
export type BodyFraming = 'length' | 'chunks' | 'connection'

const OK = 200
const EVENT_STREAM = /^text\/event-stream *(;|$)/i

/**
 * @param headers - alternating names and values
 * @returns what marks the end of the body
 */
export function bodyFraming (headers: readonly string[]): BodyFraming {
  if (headerValue(headers, 'transfer-encoding') !== undefined) return 'chunks'
  return headerValue(headers, 'content-length') === undefined ? 'connection' : 'length'
}

/**
 * @param head - head of a response to a request for a stream
 * @returns whether its end has to be checked: a body of no stated type whose own framing marks the end is taken as it comes
 */
export function mustEndAfterEvent (head: ResponseHead): boolean {
  return isEventStream(head) && (headerValue(head.headers, 'content-type') !== undefined || bodyFraming(head.headers) === 'connection')
}

/**
 * @param head - head of a response to a request for a stream
 * @returns whether the body is a stream of events whose bytes can be read
 */
export function isEventStream ({ status, headers }: ResponseHead): boolean {
  if (status !== OK) return false
  const type = headerValue(headers, 'content-type')
  const encoding = headerValue(headers, 'content-encoding')?.trim().toLowerCase()
  return (type === undefined || EVENT_STREAM.test(type.trim())) && (encoding === undefined || encoding === '' || encoding === 'identity')
}

function headerValue (headers: readonly string[], name: string): string | undefined {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() === name) return headers[at + 1]
  }
  return undefined
}
