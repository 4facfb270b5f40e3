/** An answer is complete and belongs to its request. */
import { plainAnswerSchema } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

const OK = 200

/** Statuses with which an HTTP server answers bytes that are no proper request. */
const BAD_REQUEST_STATUSES: ReadonlySet<number> = new Set([400, 413, 431])

/** {@link RequestCheck} of request ids and plain bodies. */
export class WholeAnswersCheck implements RequestCheck {
  readonly guarantee = 'whole-answers'

  onOutcome ({ request, end }: Outcome, view: HistoryView): string | undefined {
    if (end.kind === 'answered' && BAD_REQUEST_STATUSES.has(end.status) && view.runs(request.id).length > 0) return `status ${end.status}, which belongs to other bytes, since the request ran`
    if (end.kind !== 'answered' || end.status !== OK) return undefined
    if (end.answerId !== request.id) return `the answer has the request id ${end.answerId ?? '(none)'}`
    if (request.work.kind !== 'plain') return undefined
    const answer = parseAnswer(end.body)
    if (answer === undefined) return `the body is incomplete: ${end.body.slice(0, 100)}`
    if (answer.requestId !== request.id) return `the body belongs to ${answer.requestId}`
    return answer.echo === request.body ? undefined : 'the body that the endpoint received differs from the one that was sent'
  }
}

function parseAnswer (body: string): { requestId: string, echo: string } | undefined {
  try {
    return plainAnswerSchema.safeParse(JSON.parse(body)).data
  } catch {
    // An answer that was cut off is not valid JSON.
    return undefined
  }
}
