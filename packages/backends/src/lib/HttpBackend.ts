/** Plain HTTP calls to back ends, with errors in this layer's own terms. */
import { errors, Pool, type Dispatcher } from 'undici'
import type { z } from 'zod'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { parseRetryAfter } from '@eelgrassmux/schema/parseRetryAfter'
import type { BackendError } from './BackendError.js'

/** Connections kept to one back end; runs hold one each. */
const CONNECTIONS = 1024

/** Longest wait for a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000

/** A request without a body or with a JSON body. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly json?: unknown
  readonly timeoutMs: number
  readonly signal?: AbortSignal
}

/** One back end's address with its pooled connections. */
export class HttpBackend {
  readonly #pool: Pool

  /** @param address - IP number and port */
  constructor (readonly address: string) {
    this.#pool = new Pool(`http://${address}`, { connections: CONNECTIONS, connect: { timeout: CONNECT_TIMEOUT_MS } })
  }

  /**
   * Calls and checks a JSON answer.
   *
   * @param call - what to send
   * @param schema - what a successful answer must look like
   * @returns the answer or the error
   */
  async json<Answer> (call: HttpCall, schema: z.ZodType<Answer>): Promise<Result<Answer, BackendError>> {
    const response = await this.open(call)
    if (!response.ok) return response
    try {
      const parsed = schema.safeParse(await response.value.body.json())
      if (parsed.success) return succeed(parsed.data)
      return fail({ kind: 'malformed', detail: parsed.error.issues[0]?.message ?? 'unexpected answer' })
    } catch (error) {
      return fail(toBackendError(error))
    }
  }

  /**
   * Opens a response whose body the caller reads. Statuses of 300 and above become errors.
   *
   * @param call - what to send
   * @returns the response, or the error
   */
  async open (call: HttpCall): Promise<Result<Dispatcher.ResponseData, BackendError>> {
    try {
      const response = await this.#pool.request({
        method: call.method,
        path: call.path,
        headers: call.json === undefined ? {} : { 'content-type': 'application/json' },
        body: call.json === undefined ? null : JSON.stringify(call.json),
        headersTimeout: call.timeoutMs,
        bodyTimeout: call.timeoutMs,
        signal: call.signal ?? null
      })
      if (response.statusCode < 300) return succeed(response)
      return fail(statusError(response, await response.body.text()))
    } catch (error) {
      return fail(toBackendError(error))
    }
  }

  /** Closes all connections at once. */
  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}

/**
 * @param error - thrown by the HTTP library
 * @returns the same in this layer's terms
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
 * @param headers - of an answer that says that the request was not started
 * @returns the pause that it asks for, if it asks for one
 */
export function requestedPause (headers: Dispatcher.ResponseData['headers']): { readonly retryAfterMs?: number } {
  const value = headers['retry-after']
  const retryAfterMs = parseRetryAfter(Array.isArray(value) ? value[0] : value, Date.now())
  return retryAfterMs === undefined ? {} : { retryAfterMs }
}

function statusError ({ statusCode: status, headers }: Dispatcher.ResponseData, body: string): BackendError {
  const reason = reasonOf(body)
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

function reasonOf (body: string): string {
  try {
    const parsed: unknown = JSON.parse(body)
    return typeof parsed === 'object' && parsed !== null && 'error' in parsed ? String(parsed.error) : ''
  } catch {
    return ''
  }
}
