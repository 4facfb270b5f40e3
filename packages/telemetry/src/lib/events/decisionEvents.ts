import { requestDecisions } from './requestDecisions.js'
import { stopDecisions } from './stopDecisions.js'

/** Lines about a request, by name; the fields of each come beside {@link requestFields}. */
export const decisionEvents = {
  ...requestDecisions,
  ...stopDecisions
}
