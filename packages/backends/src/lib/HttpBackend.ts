/** HTTP calls to back ends. All failures are reported as {@link BackendError}. */
import { errors, Pool, type Dispatcher } from 'undici'
import type { z } from 'zod'
import { AnswerReader } from '@eelgrassmux/schema/AnswerReader'
import { InvalidStatusError, isFinalStatus } from '@eelgrassmux/schema/httpStatus'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { parseRetryAfter } from '@eelgrassmux/schema/parseRetryAfter'
import type { BackendError } from './BackendError.js'
import { ResetDetectingClient } from './resetDetection.js'

/** Most connections to one back end. Each run occupies one. */
const MAX_CONNECTIONS = 1024

export const CONNECT_TIMEOUT_MS = 1000

/** Largest body of a response, in bytes; the stream of a long run has a tenth of this, and is not kept. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024

/** Largest answer that is read into memory, in bytes: the listing of a store or of an engine's cache. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024

/** Largest body of a failure, in bytes. */
const MAX_FAILURE_BYTES = 64 * 1024

/** Answers that this process reads at the same time, from all back ends; most bytes of them together. */
const ANSWERS = new AnswerReader({ answerBytes: MAX_ANSWER_BYTES, totalBytes: 32 * 1024 * 1024 })

/** A request without a body or with a JSON body. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly json?: unknown
  readonly timeoutMs: number
  readonly signal?: AbortSignal
  /** Whether the call gets a connection of its own, so that all that arrives on it belongs to this call. */
  readonly hasOwnConnection?: boolean
}

/** Connection pool for one back end. */
export class HttpBackend {
  readonly #pool: Pool

  /** @param address - IP address and port */
  constructor (readonly address: string) {
    this.#pool = new Pool(`http://${address}`, { connections: MAX_CONNECTIONS, factory: origin => new ResetDetectingClient(String(origin), CONNECT_TIMEOUT_MS, { maxResponseSize: MAX_RESPONSE_BYTES }) })
  }

  /**
   * Makes a call and validates its JSON answer.
   *
   * @param call - request to send
   * @param schema - schema of a successful answer
   * @returns the answer, or the error
   */
  async requestJson<Answer> (call: HttpCall, schema: z.ZodType<Answer>): Promise<Result<Answer, BackendError>> {
    const response = await this.openResponse(call)
    if (!response.ok) return response
    try {
      const parsed = schema.safeParse(JSON.parse(await ANSWERS.readText(response.value.body)))
      if (parsed.success) return succeed(parsed.data)
      return fail({ kind: 'malformed', detail: parsed.error.issues[0]?.message ?? 'unexpected answer' })
    } catch (error) {
      return fail(toBackendError(error))
    }
  }

  /**
   * Makes a call and leaves the response body to the caller. Statuses of 300 and above become errors.
   *
   * @param call - request to send
   * @returns the response, or the error
   */
  async openResponse (call: HttpCall): Promise<Result<Dispatcher.ResponseData, BackendError>> {
    const connection = call.hasOwnConnection === true ? new ResetDetectingClient(`http://${this.address}`, CONNECT_TIMEOUT_MS, { pipelining: 0, maxResponseSize: MAX_RESPONSE_BYTES }) : undefined
    const close = (): void => { void connection?.destroy() }
    try {
      const response = await (connection ?? this.#pool).request({
        method: call.method,
        path: call.path,
        headers: call.json === undefined ? {} : { 'content-type': 'application/json' },
        body: call.json === undefined ? null : JSON.stringify(call.json),
        headersTimeout: call.timeoutMs,
        bodyTimeout: call.timeoutMs,
        signal: call.signal ?? null
      })
      response.body.once('close', close)
      if (!isFinalStatus(response.statusCode)) return fail(discardInvalid(response))
      if (response.statusCode < 300) return succeed(response)
      return fail(statusError(response, await ANSWERS.readText(response.body, MAX_FAILURE_BYTES)))
    } catch (error) {
      close()
      return fail(toBackendError(error))
    }
  }

  /** Closes all connections immediately. */
  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}

/**
 * @param error - error thrown by the HTTP library
 * @returns the corresponding back end error
 */
export function toBackendError (error: unknown): BackendError {
  if (error instanceof errors.ConnectTimeoutError) return { kind: 'connect-failed' }
  if (error instanceof errors.HeadersTimeoutError || error instanceof errors.BodyTimeoutError) return { kind: 'timeout' }
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  const isConnect = error instanceof Error && 'syscall' in error && error.syscall === 'connect'
  if (isConnect || code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH') return { kind: 'connect-failed' }
  return { kind: 'lost', detail: error instanceof Error ? error.message : String(error) }
}

/**
 * Ends a response whose status does not exist.
 *
 * @param response - response of which nothing has been read
 * @returns the error of the call
 */
export function discardInvalid ({ statusCode, body }: Dispatcher.ResponseData): BackendError {
  // The body reports that it was not read to its end.
  body.on('error', () => {}).destroy()
  return { kind: 'malformed', detail: new InvalidStatusError(statusCode).message }
}

/**
 * @param headers - headers of an answer which states that the request was not started
 * @returns the pause requested by the answer, if any
 */
export function requestedPause (headers: Dispatcher.ResponseData['headers']): { readonly retryAfterMs?: number } {
  const value = headers['retry-after']
  const retryAfterMs = parseRetryAfter(Array.isArray(value) ? value[0] : value, Date.now())
  return retryAfterMs === undefined ? {} : { retryAfterMs }
}

function statusError ({ statusCode: status, headers }: Dispatcher.ResponseData, body: string): BackendError {
  const reason = parseReason(body)
  switch (reason) {
    case 'leaving':
    case 'full':
    case 'version-mismatch':
    case 'unknown-import':
      return { kind: 'not-started', reason, ...requestedPause(headers) }
    default:
      return { kind: 'rejected', status, detail: reason === '' ? body.slice(0, 200) : reason }
  }
}

function parseReason (body: string): string {
  try {
    const parsed: unknown = JSON.parse(body)
    return typeof parsed === 'object' && parsed !== null && 'error' in parsed ? String(parsed.error) : ''
  } catch {
    return ''
  }
}
