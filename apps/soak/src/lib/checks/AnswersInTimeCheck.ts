/** Callers of a host that runs undisturbed get an answer or a rejection by their deadline, however many they are. */
import type { RequestCheck } from '../RequestHistory.js'
import type { SentRequest } from '../observations.js'
import type { Timeline } from '../Timeline.js'

/** Time after the deadline until which a request has to end, in milliseconds. */
const GRACE_MS = 500

/** Number of requests that are named. */
const MAX_NAMED = 3

/** {@link RequestCheck} of requests with a deadline of their own. A closed connection counts as a rejection. */
export class AnswersInTimeCheck implements RequestCheck {
  readonly guarantee = 'answers-in-time'
  readonly #late = new Map<string, string[]>()

  /**
   * @param timeline - faults that were injected
   */
  constructor (private readonly timeline: Timeline) {}

  /**
   * @param request - request that has ended, or on which its caller has given up
   * @param endedAt - when, in wall-clock milliseconds
   * @param ownDelayMs - how long its caller was late itself meanwhile, in milliseconds
   */
  recordEnd ({ id, host, sentAt, deadlineMs }: SentRequest, endedAt: number, ownDelayMs: number): void {
    if (deadlineMs === undefined || endedAt - sentAt <= deadlineMs + GRACE_MS + ownDelayMs) return
    const [slot = ''] = host.split('#')
    if (!this.timeline.ranThrough(slot, sentAt, endedAt) || this.timeline.isExcused(host, sentAt, endedAt)) return
    this.#late.set(host, [...this.#late.get(host) ?? [], `${id} after ${endedAt - sentAt} ms`])
  }

  onEnd (): string[] {
    return [...this.#late].map(([host, late]) => `${host} left ${late.length} requests without an answer or a rejection in time, such as ${late.slice(0, MAX_NAMED).join(', ')}`)
  }
}
