/** When the parts of an answer came, and what that says of later requests. */
import { callerPatienceMs } from '@eelgrassmux/routing/admission/admitStream'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Times of one request. */
export class ResponseTimes {
  #firstEventMs: number | undefined
  #lastEventAt: number

  /**
   * @param request - the request
   * @param ports - where times are counted
   */
  constructor (private readonly request: RoutedRequest, private readonly ports: Pick<RoutedPorts, 'firstEvent' | 'durations'>) {
    this.#lastEventAt = request.arrivedAt
  }

  /** Milliseconds until the first event, once there was one. */
  get firstEventMs (): number | undefined { return this.#firstEventMs }

  /** Whether an event has come. */
  get hasFirstEvent (): boolean { return this.#firstEventMs !== undefined }

  /** Monotonic milliseconds after which its caller leaves if no event comes. */
  get callerTimeoutAt (): number { return this.#lastEventAt + callerPatienceMs(this.request.route) }

  /**
   * Called at each event.
   *
   * @returns whether it is the first
   */
  recordEvent (): boolean {
    this.#lastEventAt = performance.now()
    if (this.#firstEventMs !== undefined) return false
    this.#firstEventMs = this.#sinceArrivalMs
    this.ports.firstEvent(this.#firstEventMs)
    return true
  }

  /** Called when the answer is whole. */
  noteWhole (): void {
    const wholeMs = this.#sinceArrivalMs
    const startMs = this.#firstEventMs ?? wholeMs
    const { route, fields } = this.request
    this.ports.durations.record(route.name, startMs, wholeMs - startMs, fields.prompt?.outputTokens ?? 0)
  }

  get #sinceArrivalMs (): number { return performance.now() - this.request.arrivedAt }
}
