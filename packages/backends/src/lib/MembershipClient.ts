/** Adapter to the platform's lagging membership list. */
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

/** Reads the platform's list. */
export class MembershipClient {
  readonly #http: HttpBackend

  /** @param address - IP number and port */
  constructor (address: string) {
    this.#http = new HttpBackend(address)
  }

  /** @returns the list as the platform has it now */
  async list (): Promise<Result<MemberList, BackendError>> {
    return await this.#http.requestJson({ method: 'GET', path: '/members', timeoutMs: SHORT_CALL_TIMEOUT_MS }, memberListSchema)
  }

  /** Closes all connections at once. */
  async close (): Promise<void> {
    await this.#http.close()
  }
}
