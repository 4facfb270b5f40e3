/** Asks the endpoint stand-ins whether they live. */
import { request } from 'undici'
import type { EndpointProbe } from '@eelgrassmux/control/load/LoadBoardTask'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { HEADER } from './soakHeaders.js'

/** Longest wait for a stand-in, in milliseconds; it may be paused. */
const TIMEOUT_MS = 250

const MISDIRECTED = 421

/** {@link EndpointProbe} over the stand-ins. */
export class HttpEndpointProbe implements EndpointProbe {
  async isResponsive (endpoint: ListedEndpoint): Promise<boolean> {
    return await this.#statusOf(endpoint) !== undefined
  }

  /** The proxy in front hides whether anybody listens, so only the next incarnation tells. */
  async hasCrashed (endpoint: ListedEndpoint): Promise<boolean | undefined> {
    const status = await this.#statusOf(endpoint)
    return status === undefined ? undefined : status === MISDIRECTED
  }

  async #statusOf ({ address, id }: ListedEndpoint): Promise<number | undefined> {
    try {
      const response = await request(`http://${address}/weights`, { headers: { [HEADER.instance]: id }, signal: AbortSignal.timeout(TIMEOUT_MS) })
      await response.body.dump()
      return response.statusCode
    } catch {
      // Whatever the reason: it is what hosts would meet as well.
      return undefined
    }
  }
}
