/** No request is refused because another request crashed the endpoint that both ran on. */
import type { RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** Problem type of the refusal of a request that is quarantined because it crashes endpoints. */
const QUARANTINE_REASON = 'request-quarantined'

/** {@link RequestCheck} that reports quarantine refusals of requests that crash no endpoint. */
export class BystandersAreServedCheck implements RequestCheck {
  readonly guarantee = 'bystanders-are-served'

  onOutcome ({ request, end }: Outcome): string | undefined {
    if (request.work.crashesEndpointAfterMs !== undefined || end.kind !== 'answered' || !end.body.includes(QUARANTINE_REASON)) return undefined
    return `${request.kind} of ${request.customer} was refused as quarantined, but crashes no endpoint`
  }
}
