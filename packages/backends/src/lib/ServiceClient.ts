/** Client for an endpoint of a plain service. */
import { Pool, type Dispatcher } from 'undici'
import { z } from 'zod'
import { isFinalStatus } from '@eelgrassmux/schema/httpStatus'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { BackendError } from './BackendError.js'
import { CONNECT_TIMEOUT_MS, discardInvalid, HttpBackend, requestedPause, toBackendError } from './HttpBackend.js'
import { ResetDetectingClient } from './resetDetection.js'

/** Header with which a service states that it did not start a request. */
export const RUN_STATE_HEADER = 'eelgrassmux-run'

const SHORT_CALL_TIMEOUT_MS = 1000

export const serviceHealthSchema = z.object({ incarnation: z.number().int().min(0), state: z.enum(['serving', 'leaving']) })

export type ServiceHealth = z.infer<typeof serviceHealthSchema>

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string
  readonly path: string
  readonly contentType: string | undefined
  readonly body: Uint8Array | undefined
  readonly timeoutMs: number
}

/** A complete answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** Calls one endpoint of a plain service. */
export class ServiceClient {
  readonly #pool: Pool
  readonly #health: HttpBackend

  /** @param address - IP address and port */
  constructor (readonly address: string) {
    this.#pool = new Pool(`http://${address}`, { factory: origin => new ResetDetectingClient(String(origin), CONNECT_TIMEOUT_MS) })
    this.#health = new HttpBackend(address)
  }

  /** @returns the endpoint's own report of its state */
  async health (): Promise<Result<ServiceHealth, BackendError>> {
    return await this.#health.requestJson({ method: 'GET', path: '/healthz', timeoutMs: SHORT_CALL_TIMEOUT_MS }, serviceHealthSchema)
  }

  /**
   * Makes a call that may be repeated, over pooled connections.
   *
   * @param call - request to send
   * @returns the answer, or the error
   */
  async call (call: ServiceCall): Promise<Result<ServiceAnswer, BackendError>> {
    return await send(this.#pool, call)
  }

  /**
   * Makes a call that must reach the endpoint at most once, on a new connection.
   * On a pooled connection that the endpoint has just closed, the outcome would be unknown, and a statement that arrives on
   * it may belong to an earlier call.
   *
   * @param call - request to send
   * @returns the answer, or the error; only `connect-failed` and `not-started` mean that the call did not run
   */
  async callOnce (call: ServiceCall): Promise<Result<ServiceAnswer, BackendError>> {
    const connection = new ResetDetectingClient(`http://${this.address}`, CONNECT_TIMEOUT_MS, { pipelining: 0 })
    const answer = await send(connection, call)
    await connection.destroy()
    return answer
  }

  /** Closes all connections immediately. */
  async close (): Promise<void> {
    await this.#pool.destroy()
    await this.#health.close()
  }
}

/** Maps a rejection to an error. An endpoint that sends Retry-After is full and not leaving. */
function toNotStartedError ({ statusCode, headers }: Dispatcher.ResponseData): BackendError {
  const pause = requestedPause(headers)
  if (pause.retryAfterMs !== undefined) return { kind: 'not-started', reason: 'full', ...pause }
  return { kind: 'not-started', reason: statusCode === 503 ? 'leaving' : 'other' }
}

async function send (dispatcher: Dispatcher, call: ServiceCall): Promise<Result<ServiceAnswer, BackendError>> {
  try {
    const response = await dispatcher.request({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.contentType === undefined ? {} : { 'content-type': call.contentType },
      body: call.body ?? null,
      headersTimeout: call.timeoutMs,
      bodyTimeout: call.timeoutMs
    })
    if (!isFinalStatus(response.statusCode)) return fail(discardInvalid(response))
    const body = new Uint8Array(await response.body.arrayBuffer())
    if (response.headers[RUN_STATE_HEADER] === 'not-run') {
      return fail(toNotStartedError(response))
    }
    return succeed({ status: response.statusCode, contentType: String(response.headers['content-type'] ?? 'application/octet-stream'), body })
  } catch (error) {
    return fail(toBackendError(error))
  }
}
