/** The events of a stream arrive in order, without gaps or duplicates, and a stream is complete only after its last event. */
import type { StreamEvent } from '../standinProtocol.js'
import type { RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** {@link RequestCheck} of the events of streams. */
export class EventsInOrderCheck implements RequestCheck {
  readonly guarantee = 'events-in-order'

  onOutcome ({ request, end }: Outcome): string | undefined {
    if (request.work.kind !== 'stream') return undefined
    const before = request.takenUp?.lastEvent ?? 0
    const firstUnexpected = end.events.findIndex((event, index) => !isNext(event, before + index, request.id))
    if (firstUnexpected >= 0) return `event ${firstUnexpected + 1} is ${JSON.stringify(end.events[firstUnexpected])}`
    const isComplete = end.kind === 'answered' && end.status === 200
    if (!isComplete || before + end.events.length === request.work.events) return undefined
    return `complete after ${before + end.events.length} of ${request.work.events} events`
  }
}

function isNext (event: StreamEvent, index: number, requestId: string): boolean {
  return event.number === index + 1 && event.requestId === requestId
}
