/** Header names for the product's own tests. */
import { endToEndHeaders } from '../headers.js'
import { parseRetryAfter } from '@eelgrassmux/schema/parseRetryAfter'
import type { ResponseFields, CallerFields, EndpointFields, RequestCodec } from '../RequestCodec.js'

/** Header names, in lower case. */
export const PLAIN_HEADERS = { id: 'request-id', key: 'key', deadline: 'deadline', notRun: 'not-run', lastEvent: 'last-event-id', resumes: 'resumes', rateLimit: 'rate-limit', retryAfter: 'retry-after', leaving: 'leaving', brittle: 'brittle' }

/** A codec that supports the fewest fields that the product needs. */
export class PlainCodec implements RequestCodec {
  readRequestHeaders (headers: readonly string[]): CallerFields {
    return {
      requestId: valueOf(headers, PLAIN_HEADERS.id),
      key: valueOf(headers, PLAIN_HEADERS.key),
      deadlineMs: numberOf(headers, PLAIN_HEADERS.deadline),
      prompt: undefined,
      lastEventId: numberOf(headers, PLAIN_HEADERS.lastEvent),
      resumes: valueOf(headers, PLAIN_HEADERS.resumes)
    }
  }

  writeRequestHeaders (headers: readonly string[], fields: EndpointFields): string[] {
    const kept = endToEndHeaders(headers, name => name === 'content-length' || name === PLAIN_HEADERS.key || name === PLAIN_HEADERS.deadline || name === PLAIN_HEADERS.lastEvent)
    kept.push(PLAIN_HEADERS.deadline, String(fields.remainingMs))
    if (fields.lastEventId !== undefined) kept.push(PLAIN_HEADERS.lastEvent, String(fields.lastEventId))
    return kept
  }

  readResponseHeaders (_status: number, headers: readonly string[]): ResponseFields {
    const brittle = valueOf(headers, PLAIN_HEADERS.brittle)
    const rateLimit = valueOf(headers, PLAIN_HEADERS.rateLimit)
    return {
      requestId: valueOf(headers, PLAIN_HEADERS.id),
      isNotExecuted: valueOf(headers, PLAIN_HEADERS.notRun) !== undefined,
      instance: undefined,
      load: undefined,
      version: undefined,
      requestsPerSecond: rateLimit === undefined ? undefined : Number(rateLimit),
      rejectionsPerSecond: brittle === undefined ? undefined : Number(brittle),
      isLeaving: valueOf(headers, PLAIN_HEADERS.leaving) === '1',
      retryAfterMs: parseRetryAfter(valueOf(headers, PLAIN_HEADERS.retryAfter), Date.now())
    }
  }
}

function numberOf (headers: readonly string[], name: string): number | undefined {
  const value = valueOf(headers, name)
  return value === undefined ? undefined : Number(value)
}

/** Returns the value of a header; undefined if it is missing. */
function valueOf (headers: readonly string[], name: string): string | undefined {
  const at = headers.findIndex((header, index) => index % 2 === 0 && header.toLowerCase() === name)
  return at < 0 ? undefined : headers[at + 1]
}
