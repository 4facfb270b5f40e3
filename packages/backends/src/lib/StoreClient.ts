/** Client for one KV cache store. Engines and stores transfer block data directly; this client only lists and deletes objects. */
import { z } from 'zod'
import type { Result } from '@eelgrassmux/schema/Result'
import type { BackendError } from './BackendError.js'
import { HttpBackend } from './HttpBackend.js'

const nonNegativeInteger = z.number().int().min(0)

const SHORT_CALL_TIMEOUT_MS = 2000

export const storeLoadSchema = z.object({
  incarnation: nonNegativeInteger,
  usedBytes: nonNegativeInteger,
  capacityBytes: nonNegativeInteger,
  backlogBytes: nonNegativeInteger
})

/** Listing of a store. It contains only complete objects whose checksum was verified. */
export const storeListingSchema = z.object({
  objects: z.array(z.object({
    name: z.string(),
    customer: z.string(),
    keys: z.array(z.string()),
    tokens: nonNegativeInteger,
    firstBlock: nonNegativeInteger,
    bytes: nonNegativeInteger,
    sha256: z.string(),
    tier: z.enum(['memory', 'disk'])
  }))
})

export type StoreLoad = z.infer<typeof storeLoadSchema>
export type StoreListing = z.infer<typeof storeListingSchema>

/** The operations of a store. */
export interface StoreBackend {
  load (): Promise<Result<StoreLoad, BackendError>>
  list (): Promise<Result<StoreListing, BackendError>>
  remove (name: string): Promise<Result<unknown, BackendError>>
}

/** {@link StoreBackend} over HTTP. */
export class StoreClient implements StoreBackend {
  readonly #http: HttpBackend

  /** @param address - IP address and port */
  constructor (address: string) {
    this.#http = new HttpBackend(address)
  }

  async load (): Promise<Result<StoreLoad, BackendError>> {
    return await this.#http.requestJson({ method: 'GET', path: '/load', timeoutMs: SHORT_CALL_TIMEOUT_MS }, storeLoadSchema)
  }

  async list (): Promise<Result<StoreListing, BackendError>> {
    return await this.#http.requestJson({ method: 'GET', path: '/objects', timeoutMs: SHORT_CALL_TIMEOUT_MS }, storeListingSchema)
  }

  async remove (name: string): Promise<Result<unknown, BackendError>> {
    return await this.#http.requestJson({ method: 'DELETE', path: `/objects/${name}`, timeoutMs: SHORT_CALL_TIMEOUT_MS }, z.unknown())
  }

  /** Closes all connections immediately. */
  async close (): Promise<void> {
    await this.#http.close()
  }
}
