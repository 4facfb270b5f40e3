/** Hosts close the connection of an answer that has no end, instead of reading it for as long as it comes. */
import type { RequestCheck } from '../RequestHistory.js'
import type { EndlessLine } from '../standinProtocol.js'
import type { Timeline } from '../Timeline.js'
import { REQUEST_TIMEOUT_MS } from '../soakSite.js'

/** Time after which the connection has to be closed, in milliseconds. */
const MAX_OPEN_MS = 3000

/** Actions after which a host can't read, or can't close in time. */
const DISTURBANCES = ['SIGSTOP', 'link:', 'cut off']

interface EndlessAnswer {
  readonly endpoint: string
  readonly part: string
  readonly begunAt: number
  closedAt: number | undefined
}

/** {@link RequestCheck} of answers without end. */
export class EndlessAnswersAreClosedCheck implements RequestCheck {
  readonly guarantee = 'endless-answers-are-closed'
  readonly #answers = new Map<string, EndlessAnswer>()

  /**
   * @param timeline - faults that were injected
   * @param isCall - returns whether a request is answered by a body of any length, which reaches its caller until the request times out
   */
  constructor (private readonly timeline: Timeline, private readonly isCall: (requestId: string) => boolean) {}

  /** @param line - an answer without end has begun, or its connection was closed */
  record (line: EndlessLine): void {
    const key = `${line.requestId} ${line.endpoint}`
    if (line.event === 'endless-begun') {
      this.#answers.set(key, { endpoint: line.endpoint, part: line.part, begunAt: line.at, closedAt: undefined })
      return
    }
    const answer = this.#answers.get(key)
    if (answer !== undefined) answer.closedAt = line.at
  }

  onEnd (): string[] {
    const now = Date.now()
    return [...this.#answers].flatMap(([key, { endpoint, part, begunAt, closedAt }]) => {
      const maxOpenMs = MAX_OPEN_MS + (part === 'body' && this.isCall(key.split(' ')[0] ?? '') ? REQUEST_TIMEOUT_MS : 0)
      const openMs = (closedAt ?? now) - begunAt
      if (openMs <= maxOpenMs || this.#isDisturbed(endpoint, begunAt, begunAt + maxOpenMs)) return []
      return [`${key}: the connection of an answer whose ${part} has no end was ${closedAt === undefined ? 'never closed' : `closed after ${openMs} ms`}`]
    })
  }

  /** Returns whether the endpoint exited, which closes its connections, or a process or link was disturbed. */
  #isDisturbed (endpoint: string, from: number, until: number): boolean {
    return this.timeline.entries.some(entry => entry.at <= until && entry.until >= from &&
      (DISTURBANCES.some(disturbance => entry.action.startsWith(disturbance)) || (entry.process === endpoint && /^(SIG|exited)/.test(entry.action))))
  }
}
