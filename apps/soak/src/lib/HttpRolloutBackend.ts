/** Orders endpoint stand-ins to load weights, and reads their status. */
import { request } from 'undici'
import type { EngineStatus, LoadOrder, OrderOutcome } from '@eelgrassmux/control/rollout/RolloutPlan'
import type { RolloutBackend } from '@eelgrassmux/control/rollout/RolloutTask'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { reportSchema } from './standinProtocol.js'
import { HEADER } from './soakHeaders.js'

/** Timeout of a request to a stand-in, in milliseconds; the stand-in may be paused. */
const TIMEOUT_MS = 500

/** {@link RolloutBackend} for stand-ins. */
export class HttpRolloutBackend implements RolloutBackend {
  async status (endpoint: ListedEndpoint): Promise<Result<EngineStatus, { readonly kind: string }>> {
    try {
      const response = await request(`http://${endpoint.address}/weights`, {
        headers: { [HEADER.instance]: endpoint.id }, signal: AbortSignal.timeout(TIMEOUT_MS)
      })
      const { model, version, isBusy, acceptedOrders } = reportSchema.parse(await response.body.json())
      return succeed({ startedAtMs: undefined, versions: new Map([[model, version]]), isBusy, acceptedOrders })
    } catch (error) {
      return fail({ kind: String(error) })
    }
  }

  async load ({ endpoint, model, version, expectedOrders }: LoadOrder): Promise<OrderOutcome> {
    try {
      const response = await request(`http://${endpoint.address}/weights`, {
        method: 'POST',
        headers: { [HEADER.instance]: endpoint.id },
        body: JSON.stringify({ model, version, expectedOrders }),
        signal: AbortSignal.timeout(TIMEOUT_MS)
      })
      await response.body.dump()
      return outcomeOf(response.statusCode)
    } catch {
      // The order may have arrived nevertheless; the caller reads the status before its next step.
      return 'unanswered'
    }
  }
}

function outcomeOf (status: number): OrderOutcome {
  switch (status) {
    case 202: return 'accepted'
    case 200: return 'already-holds'
    case 409: return 'conflict'
    default: return 'refused'
  }
}
