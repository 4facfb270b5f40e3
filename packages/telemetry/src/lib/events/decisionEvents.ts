import { requestDecisions } from './requestDecisions.js'
import { stopDecisions } from './stopDecisions.js'
import { waitingDecisions } from './waitingDecisions.js'

/** Lines about requests: event names and their fields, in addition to {@link requestFields}. */
export const decisionEvents = {
  ...requestDecisions,
  ...stopDecisions,
  ...waitingDecisions
}
