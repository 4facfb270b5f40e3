/** Client for one model engine. */
import type { Dispatcher } from 'undici'
import { z } from 'zod'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { BackendError } from './BackendError.js'
import {
  cacheEventsSchema, cacheListingSchema, engineLoadSchema, exportResponseSchema, importResponseSchema, okSchema,
  runMessageSchema, type CacheEvents, type CacheListing, type EngineReport, type ExportRequest, type ExportResponse,
  type ImportRequest, type OrderRequest, type RunMessage, type RunRequest
} from './engineProtocol.js'
import { HttpBackend, toBackendError } from './HttpBackend.js'
import { ServerSentEventReader } from './ServerSentEventReader.js'

const SHORT_CALL_TIMEOUT_MS = 1000

/** One message of a run, or the error that ended the stream. A stream that ends without an end message yields an error. */
export type RunStreamItem = Result<RunMessage, BackendError>

/** The operations of a model engine. */
export interface EngineBackend {
  report (): Promise<Result<EngineReport, BackendError>>
  cacheEvents (fromSequence: number): Promise<Result<CacheEvents, BackendError>>
  cacheListing (): Promise<Result<CacheListing, BackendError>>
  /** Starts a run. The error of a failed call tells whether the run may have started. */
  startRun (request: RunRequest, stallTimeoutMs: number, signal: AbortSignal): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>>
  /** Reads a run that is in progress again, from a token offset. */
  resumeRun (run: string, offset: number, stallTimeoutMs: number, signal: AbortSignal): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>>
  cancelRun (run: string): Promise<void>
  stageImport (request: ImportRequest, timeoutMs: number, signal: AbortSignal): Promise<Result<{ bytes: number }, BackendError>>
  discardImport (importId: string): Promise<void>
  exportBlocks (request: ExportRequest, timeoutMs: number): Promise<Result<ExportResponse, BackendError>>
  sendOrder (request: OrderRequest, timeoutMs: number): Promise<Result<{ ok: true }, BackendError>>
}

/** {@link EngineBackend} over HTTP with server-sent events. */
export class EngineClient implements EngineBackend {
  readonly #http: HttpBackend

  /** @param address - IP address and port */
  constructor (address: string) {
    this.#http = new HttpBackend(address)
  }

  async report (): Promise<Result<EngineReport, BackendError>> {
    return await this.#http.requestJson({ method: 'GET', path: '/load', timeoutMs: SHORT_CALL_TIMEOUT_MS }, engineLoadSchema)
  }

  async cacheEvents (fromSequence: number): Promise<Result<CacheEvents, BackendError>> {
    return await this.#http.requestJson({ method: 'GET', path: `/cache/events?from=${fromSequence}`, timeoutMs: SHORT_CALL_TIMEOUT_MS }, cacheEventsSchema)
  }

  async cacheListing (): Promise<Result<CacheListing, BackendError>> {
    return await this.#http.requestJson({ method: 'GET', path: '/cache/blocks', timeoutMs: SHORT_CALL_TIMEOUT_MS }, cacheListingSchema)
  }

  async startRun (request: RunRequest, stallTimeoutMs: number, signal: AbortSignal): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>> {
    const response = await this.#http.openResponse({ method: 'POST', path: '/runs', json: request, timeoutMs: stallTimeoutMs, signal, hasOwnConnection: true })
    return response.ok ? succeed(readRun(response.value)) : response
  }

  async resumeRun (run: string, offset: number, stallTimeoutMs: number, signal: AbortSignal): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>> {
    const path = `/runs/${encodeURIComponent(run)}?from=${offset}`
    const response = await this.#http.openResponse({ method: 'GET', path, timeoutMs: stallTimeoutMs, signal })
    return response.ok ? succeed(readRun(response.value)) : response
  }

  async cancelRun (run: string): Promise<void> {
    await this.#http.requestJson({ method: 'DELETE', path: `/runs/${encodeURIComponent(run)}`, timeoutMs: SHORT_CALL_TIMEOUT_MS }, z.unknown())
  }

  async stageImport (request: ImportRequest, timeoutMs: number, signal: AbortSignal): Promise<Result<{ bytes: number }, BackendError>> {
    return await this.#http.requestJson({ method: 'POST', path: '/imports', json: request, timeoutMs, signal }, importResponseSchema)
  }

  async discardImport (importId: string): Promise<void> {
    await this.#http.requestJson({ method: 'DELETE', path: `/imports/${encodeURIComponent(importId)}`, timeoutMs: SHORT_CALL_TIMEOUT_MS }, z.unknown())
  }

  async exportBlocks (request: ExportRequest, timeoutMs: number): Promise<Result<ExportResponse, BackendError>> {
    return await this.#http.requestJson({ method: 'POST', path: '/exports', json: request, timeoutMs }, exportResponseSchema)
  }

  async sendOrder (request: OrderRequest, timeoutMs: number): Promise<Result<{ ok: true }, BackendError>> {
    return await this.#http.requestJson({ method: 'POST', path: '/orders', json: request, timeoutMs }, okSchema)
  }

  /** Closes all connections immediately. */
  async close (): Promise<void> {
    await this.#http.close()
  }
}

async function * readRun (response: Dispatcher.ResponseData): AsyncGenerator<RunStreamItem> {
  const events = new ServerSentEventReader()
  let sawEnd = false
  try {
    for await (const bytes of response.body) {
      for (const data of events.push(bytes as Uint8Array)) {
        const parsed = runMessageSchema.safeParse(JSON.parse(data))
        if (!parsed.success) {
          yield fail({ kind: 'malformed', detail: parsed.error.issues[0]?.message ?? 'unexpected message' })
          return
        }
        // The end message may arrive before the last tokens, so reading continues.
        sawEnd ||= parsed.data.kind === 'end'
        yield succeed(parsed.data)
      }
    }
    if (!sawEnd) yield fail({ kind: 'lost', detail: 'the stream ended without an end message' })
  } catch (error) {
    yield fail(toBackendError(error))
  }
}
