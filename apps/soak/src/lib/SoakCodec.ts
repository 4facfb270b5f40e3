/** Reads and writes the headers of the soak on an entry host. */
import type { ResponseFields, CallerFields, EndpointFields, RequestCodec } from '@eelgrassmux/entry/routed/RequestCodec'
import { endToEndHeaders } from '@eelgrassmux/entry/routed/headers'
import { parseRetryAfter } from '@eelgrassmux/schema/parseRetryAfter'
import type { StatedLoad } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { PromptDescription } from '@eelgrassmux/routing/prompts/promptDescription'
import { HEADER, headerValue } from './soakHeaders.js'

/** Headers of requests to endpoints that only the entry host may set. */
const SET_BY_PRODUCT: ReadonlySet<string> = new Set([
  'content-length', HEADER.key, HEADER.customer, HEADER.deadlineMs, HEADER.lastEvent, HEADER.instance, HEADER.version, HEADER.cacheSalt
])

/** Pace of a machine that is not slow. */
const USUAL_PACE = 100

/** {@link RequestCodec} for the headers of the soak. */
export class SoakCodec implements RequestCodec {
  /** @param isDeaf - ignores what endpoints ask of hosts: a break that the checks must detect */
  constructor (private readonly isDeaf = false) {}

  readRequestHeaders (headers: readonly string[]): CallerFields {
    return {
      requestId: headerValue(headers, HEADER.requestId),
      key: headerValue(headers, HEADER.key),
      deadlineMs: readNumber(headerValue(headers, HEADER.deadlineMs)),
      prompt: readPrompt(headers),
      lastEventId: readNumber(headerValue(headers, HEADER.lastEvent)),
      resumes: headerValue(headers, HEADER.resumes)
    }
  }

  writeRequestHeaders (headers: readonly string[], fields: EndpointFields): string[] {
    const written = endToEndHeaders(headers, name => SET_BY_PRODUCT.has(name))
    written.push(HEADER.deadlineMs, String(fields.remainingMs), HEADER.instance, fields.instance)
    if (fields.customer !== undefined) written.push(HEADER.customer, fields.customer)
    if (fields.lastEventId !== undefined) written.push(HEADER.lastEvent, String(fields.lastEventId))
    if (fields.version !== undefined) written.push(HEADER.version, String(fields.version))
    if (fields.cacheSalt !== undefined) written.push(HEADER.cacheSalt, fields.cacheSalt)
    return written
  }

  readResponseHeaders (_status: number, headers: readonly string[]): ResponseFields {
    return {
      requestId: headerValue(headers, HEADER.requestId),
      isNotExecuted: headerValue(headers, HEADER.notRun) !== undefined,
      instance: headerValue(headers, HEADER.answeredBy),
      load: readLoad(headerValue(headers, HEADER.load)),
      version: readNumber(headerValue(headers, HEADER.version)),
      ...readRequests(this.isDeaf ? [] : headers)
    }
  }
}

/** Reads what the endpoint asks of the host. */
function readRequests (headers: readonly string[]): Pick<ResponseFields, 'requestsPerSecond' | 'rejectionsPerSecond' | 'isLeaving' | 'retryAfterMs'> {
  return {
    requestsPerSecond: readNumber(headerValue(headers, HEADER.rateLimit)),
    rejectionsPerSecond: readNumber(headerValue(headers, HEADER.brittle)),
    isLeaving: headerValue(headers, HEADER.leaving) === '1',
    retryAfterMs: parseRetryAfter(headerValue(headers, HEADER.retryAfter), Date.now())
  }
}

function readLoad (text: string | undefined): StatedLoad | undefined {
  if (text === undefined) return undefined
  const [running = 0, waiting = 0, slots = 0, pace = USUAL_PACE] = text.split(',').map(Number)
  const load = { running, waiting, slots, paceFactor: pace / USUAL_PACE }
  return load
}

function readPrompt (headers: readonly string[]): PromptDescription | undefined {
  const model = headerValue(headers, HEADER.model)
  if (model === undefined) return undefined
  const promptTokens = readNumber(headerValue(headers, HEADER.promptTokens)) ?? 0
  const part = headerValue(headers, HEADER.part)
  const sharedParts = part === undefined ? [] : [{ id: part, tokens: promptTokens / 2 }]
  return { model, promptTokens, outputTokens: 0, parts: [...sharedParts, { id: `shared-${promptTokens}`, tokens: promptTokens / 2 }] }
}

function readNumber (text: string | undefined): number | undefined {
  const value = Number(text)
  return text === undefined || !Number.isFinite(value) ? undefined : value
}
