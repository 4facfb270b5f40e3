/** Asks the endpoint stand-ins whether they live. */
import { request } from 'undici'
import type { EndpointProbe } from '@eelgrassmux/control/load/LoadBoardTask'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'

/** Longest wait for a stand-in, in milliseconds; it may be paused. */
const TIMEOUT_MS = 250

/** {@link EndpointProbe} over the stand-ins. */
export class HttpEndpointProbe implements EndpointProbe {
  async answers ({ address }: ListedEndpoint): Promise<boolean> {
    try {
      const response = await request(`http://${address}/weights`, { signal: AbortSignal.timeout(TIMEOUT_MS) })
      await response.body.dump()
      return true
    } catch {
      // Whatever the reason: it is what hosts would meet as well.
      return false
    }
  }
}
