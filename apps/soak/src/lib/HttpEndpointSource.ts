/** Reads the endpoint list that the soak serves. */
import { request } from 'undici'
import { z } from 'zod'
import type { EndpointSource } from '@eelgrassmux/control/endpoints/EndpointListTask'
import type { EndpointListing } from '@eelgrassmux/control/endpoints/EndpointRegistry'
import { ListingReview } from '@eelgrassmux/control/endpoints/ListingReview'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { listedEndpointSchema } from '@eelgrassmux/schema/site/listedEndpoint'

/** Timeout of a request for the list, in milliseconds; the server runs on the same host. */
const TIMEOUT_MS = 1000

/** {@link EndpointSource} over HTTP. */
export class HttpEndpointSource implements EndpointSource {
  readonly #review = new ListingReview()

  /** @param address - address of the list server */
  constructor (private readonly address: string) {}

  async list (): Promise<Result<EndpointListing, { readonly kind: string }>> {
    try {
      const response = await request(`http://${this.address}/`, { signal: AbortSignal.timeout(TIMEOUT_MS) })
      const endpoints = z.array(listedEndpointSchema).parse(await response.body.json())
      return succeed(this.#review.review({ endpoints, rejected: [], incompleteBecause: undefined }))
    } catch (error) {
      return fail({ kind: String(error) })
    }
  }
}
