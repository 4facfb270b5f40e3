/** Checks whether the endpoint stand-ins respond. */
import { request } from 'undici'
import type { EndpointProbe } from '@eelgrassmux/control/load/LoadBoardTask'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { HEADER } from './soakHeaders.js'

/** Timeout of a request to a stand-in, in milliseconds; the stand-in may be paused. */
const TIMEOUT_MS = 250

const MISDIRECTED = 421

/** {@link EndpointProbe} for stand-ins. */
export class HttpEndpointProbe implements EndpointProbe {
  async isResponsive (endpoint: ListedEndpoint): Promise<boolean> {
    return await this.#statusOf(endpoint) !== undefined
  }

  /** The proxy in front accepts connections even if the stand-in has exited, so only an answer of the next incarnation proves a crash. */
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
      // The reason does not matter: hosts would get no answer either.
      return undefined
    }
  }
}
