/** Records when the parts of a response arrived, also for estimates of later requests. */
import { callerPatienceMs } from '@eelgrassmux/routing/admission/admitStream'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Times of the response to one request. */
export class ResponseTimes {
  #firstEventMs: number | undefined
  #lastEventAt: number

  /**
   * @param request - request whose response is timed
   * @param ports - where the times are recorded
   */
  constructor (private readonly request: RoutedRequest, private readonly ports: Pick<RoutedPorts, 'firstEvent' | 'durations'>) {
    this.#lastEventAt = request.arrivedAt
  }

  /** Milliseconds from the request's arrival to the first event; undefined before it. */
  get firstEventMs (): number | undefined { return this.#firstEventMs }

  /** Whether an event has arrived. */
  get hasFirstEvent (): boolean { return this.#firstEventMs !== undefined }

  /** When the caller is expected to disconnect unless another event arrives, in monotonic milliseconds. */
  get callerTimeoutAt (): number { return this.#lastEventAt + callerPatienceMs(this.request.route) }

  /**
   * Records the arrival of an event.
   *
   * @returns whether it was the first one
   */
  recordEvent (): boolean {
    this.#lastEventAt = performance.now()
    if (this.#firstEventMs !== undefined) return false
    this.#firstEventMs = this.#sinceArrivalMs
    this.ports.firstEvent(this.#firstEventMs)
    return true
  }

  /** Records that the response is complete. */
  noteWhole (): void {
    const wholeMs = this.#sinceArrivalMs
    const startMs = this.#firstEventMs ?? wholeMs
    const { route, fields } = this.request
    this.ports.durations.record(route.name, startMs, wholeMs - startMs, fields.prompt?.outputTokens ?? 0)
  }

  get #sinceArrivalMs (): number { return performance.now() - this.request.arrivedAt }
}
