/** Client for the platform's member list, which lags behind the actual state. */
import { z } from 'zod'
import type { Result } from '@eelgrassmux/schema/Result'
import type { BackendError } from './BackendError.js'
import { HttpBackend } from './HttpBackend.js'

const SHORT_CALL_TIMEOUT_MS = 1000

export const memberListSchema = z.object({
  members: z.array(z.object({
    name: z.string(),
    state: z.enum(['live', 'leaving']),
    incarnation: z.number().int().min(0)
  }))
})

export type MemberList = z.infer<typeof memberListSchema>

/** Reads the platform's member list. */
export class MembershipClient {
  readonly #http: HttpBackend

  /** @param address - IP address and port */
  constructor (address: string) {
    this.#http = new HttpBackend(address)
  }

  /** @returns the platform's current list */
  async list (): Promise<Result<MemberList, BackendError>> {
    return await this.#http.requestJson({ method: 'GET', path: '/members', timeoutMs: SHORT_CALL_TIMEOUT_MS }, memberListSchema)
  }

  /** Closes all connections immediately. */
  async close (): Promise<void> {
    await this.#http.close()
  }
}
