/** No request is refused for what another one did to the endpoint that both were at. */
import type { RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** Reason of refusals of requests that are held to end endpoints. */
const QUARANTINE_REASON = 'request-quarantined'

/** {@link RequestCheck} of refusals of requests that end no endpoint. */
export class BystandersAreServedCheck implements RequestCheck {
  readonly guarantee = 'bystanders-are-served'

  onOutcome ({ request, end }: Outcome): string | undefined {
    if (request.work.crashesEndpointAfterMs !== undefined || end.kind !== 'answered' || !end.body.includes(QUARANTINE_REASON)) return undefined
    return `${request.kind} of ${request.customer} was refused as if it had ended endpoints`
  }
}
