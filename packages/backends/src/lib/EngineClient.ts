/** Adapter to one model engine. */
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

/** Deadline of short calls, in milliseconds. */
const SHORT_CALL_MS = 1000

/** One message of a run, or why the stream broke. A stream that ends without an end mark yields an error. */
export type RunStreamItem = Result<RunMessage, BackendError>

/** What the system asks of a model engine. */
export interface EngineBackend {
  report (): Promise<Result<EngineReport, BackendError>>
  cacheEvents (after: number): Promise<Result<CacheEvents, BackendError>>
  cacheListing (): Promise<Result<CacheListing, BackendError>>
  /** Starts a run; an error before the first item says whether it may have started. */
  startRun (request: RunRequest, stallMs: number, signal: AbortSignal): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>>
  /** Reads a run that is under way again, from an offset. */
  resumeRun (run: string, offset: number, stallMs: number, signal: AbortSignal): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>>
  cancelRun (run: string): Promise<void>
  stageImport (request: ImportRequest, timeoutMs: number, signal: AbortSignal): Promise<Result<{ bytes: number }, BackendError>>
  discardImport (importId: string): Promise<void>
  exportBlocks (request: ExportRequest, timeoutMs: number): Promise<Result<ExportResponse, BackendError>>
  sendOrder (request: OrderRequest, timeoutMs: number): Promise<Result<{ ok: true }, BackendError>>
}

/** {@link EngineBackend} over HTTP with server-sent events. */
export class EngineClient implements EngineBackend {
  readonly #http: HttpBackend

  /** @param address - IP number and port */
  constructor (address: string) {
    this.#http = new HttpBackend(address)
  }

  async report (): Promise<Result<EngineReport, BackendError>> {
    return await this.#http.json({ method: 'GET', path: '/load', timeoutMs: SHORT_CALL_MS }, engineLoadSchema)
  }

  async cacheEvents (after: number): Promise<Result<CacheEvents, BackendError>> {
    return await this.#http.json({ method: 'GET', path: `/cache/events?from=${after}`, timeoutMs: SHORT_CALL_MS }, cacheEventsSchema)
  }

  async cacheListing (): Promise<Result<CacheListing, BackendError>> {
    return await this.#http.json({ method: 'GET', path: '/cache/blocks', timeoutMs: SHORT_CALL_MS }, cacheListingSchema)
  }

  async startRun (request: RunRequest, stallMs: number, signal: AbortSignal): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>> {
    const response = await this.#http.open({ method: 'POST', path: '/runs', json: request, timeoutMs: stallMs, signal })
    return response.ok ? succeed(readRun(response.value)) : response
  }

  async resumeRun (run: string, offset: number, stallMs: number, signal: AbortSignal): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>> {
    const path = `/runs/${encodeURIComponent(run)}?from=${offset}`
    const response = await this.#http.open({ method: 'GET', path, timeoutMs: stallMs, signal })
    return response.ok ? succeed(readRun(response.value)) : response
  }

  async cancelRun (run: string): Promise<void> {
    await this.#http.json({ method: 'DELETE', path: `/runs/${encodeURIComponent(run)}`, timeoutMs: SHORT_CALL_MS }, z.unknown())
  }

  async stageImport (request: ImportRequest, timeoutMs: number, signal: AbortSignal): Promise<Result<{ bytes: number }, BackendError>> {
    return await this.#http.json({ method: 'POST', path: '/imports', json: request, timeoutMs, signal }, importResponseSchema)
  }

  async discardImport (importId: string): Promise<void> {
    await this.#http.json({ method: 'DELETE', path: `/imports/${encodeURIComponent(importId)}`, timeoutMs: SHORT_CALL_MS }, z.unknown())
  }

  async exportBlocks (request: ExportRequest, timeoutMs: number): Promise<Result<ExportResponse, BackendError>> {
    return await this.#http.json({ method: 'POST', path: '/exports', json: request, timeoutMs }, exportResponseSchema)
  }

  async sendOrder (request: OrderRequest, timeoutMs: number): Promise<Result<{ ok: true }, BackendError>> {
    return await this.#http.json({ method: 'POST', path: '/orders', json: request, timeoutMs }, okSchema)
  }

  /** Closes all connections at once. */
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
        // Tokens may still follow an end mark that overtook them.
        sawEnd ||= parsed.data.kind === 'end'
        yield succeed(parsed.data)
      }
    }
    if (!sawEnd) yield fail({ kind: 'lost', detail: 'the stream ended without an end mark' })
  } catch (error) {
    yield fail(toBackendError(error))
  }
}
