/** Forwards an endpoint's response to the caller: streams as the events arrive, other responses once they are complete. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import { EventCursor } from '@eelgrassmux/runs/EventCursor'
import { EventScanner } from '@eelgrassmux/runs/EventScanner'
import { NOT_RUN_STATUSES } from '@eelgrassmux/schema/Refusal'
import type { CallerExchange } from './CallerExchange.js'
import { bodyFraming, isEventStream, mustEndAfterEvent, type BodyFraming } from './responseBody.js'
import type { ResponseHead } from './RoutedAttempt.js'

/** Responses other than streams are buffered up to this size, in bytes, so that the request can be retried if the response breaks off. */
const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

/** Longest event of a stream, in bytes. An endpoint that sends more sends no event. */
const MAX_EVENT_BYTES = 1024 * 1024

/** Most bytes of a response that are read although none of them is passed on. */
const MAX_DROPPED_BYTES = 64 * 1024

const OK = 200

/** Lowest status that counts as a failure of the endpoint. */
const FIRST_SERVER_ERROR_STATUS = 500

/** The kind of response that is expected. */
export interface RelayKind {
  readonly isStream: boolean
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly isResumable: boolean
  /** Id of the event after which the caller asked to resume. */
  readonly lastEventId: number | undefined
}

/** Why a response that has ended can't be forwarded. */
export interface ResponseFault {
  readonly failure: AttemptFailure
  readonly detail: string
}

/** The response to one request, over all its attempts. */
export class ResponseRelay {
  readonly #cursor: EventCursor | undefined
  #head: ResponseHead | undefined
  #resume: () => void = () => {}
  #scanner: EventScanner | undefined
  #isContinuation = false
  /** Whether the status of the current response states that the request was not executed, which the endpoint did not state otherwise. Nothing of it may reach the caller. */
  #isWithheld = false
  /** Whether the current response is no stream of events, so that nothing can continue it. */
  #isOpaque = false
  #buffered: Buffer[] | undefined
  #bufferedBytes = 0
  #droppedBytes = 0

  /**
   * @param exchange - connection to the caller
   * @param kind - kind of response that is expected
   */
  constructor (private readonly exchange: CallerExchange, private readonly kind: RelayKind) {
    if (kind.isStream && kind.isResumable) this.#cursor = new EventCursor(kind.lastEventId)
  }

  /** Whether another attempt may continue the stream after what was forwarded. */
  get canResume (): boolean { return this.#cursor !== undefined && !this.#isOpaque }
  /** Whether another endpoint's response could reach the caller: it has nothing yet, or part of a stream that may be resumed. */
  get canGoOnElsewhere (): boolean { return !this.exchange.hasHead || this.canResume }
  /** Whether the caller has received part of a stream that may be resumed at another endpoint. */
  get canResumeStream (): boolean { return this.exchange.hasHead && this.canResume }
  /** Id of the event after which the next attempt has to continue. */
  get lastEventId (): number | undefined { return this.#cursor?.lastId ?? this.kind.lastEventId }
  get head (): ResponseHead | undefined { return this.#head }
  /** What marks the end of the current response's body. */
  get framing (): BodyFraming { return bodyFraming(this.#head?.headers ?? []) }
  /** Whether the current response, as received so far, ends inside an event. */
  get isInsideEvent (): boolean { return this.#scanner?.isInsideEvent ?? this.#cursor?.hasPartialEvent ?? false }

  /** Why the current response, which goes on, must not be read any further; undefined if it may. */
  get excess (): ResponseFault | undefined {
    const unfinishedBytes = this.#scanner?.unfinishedBytes ?? (this.#isOpaque ? undefined : this.#cursor?.unfinishedBytes) ?? 0
    if (unfinishedBytes > MAX_EVENT_BYTES) return { failure: 'lost', detail: 'an event of the stream is too long' }
    if (this.#droppedBytes > MAX_DROPPED_BYTES) return { failure: 'lost', detail: `status ${this.#head?.status ?? 0}, which can't be passed on, and the body goes on` }
    return undefined
  }

  /** Memory that the unfinished response occupies, in bytes. */
  get keptBytes (): number { return this.#bufferedBytes + (this.#cursor?.keptBytes ?? 0) }

  /** Why the current attempt's response, which has ended, does not complete the response to the caller. */
  get fault (): ResponseFault | undefined {
    if (this.isInsideEvent) return { failure: 'lost', detail: 'the stream ended inside an event' }
    if (this.#isContinuation && this.#buffered !== undefined) return { failure: 'failed', detail: `status ${this.#head?.status ?? 0} without events in place of the rest of the stream` }
    return undefined
  }

  /**
   * @param head - head of another attempt's response
   * @returns whether that response could be forwarded after what the caller already has
   */
  canContinueWith (head: ResponseHead): boolean {
    return this.canResume && this.exchange.hasHead ? isEventStream(head) : head.status < FIRST_SERVER_ERROR_STATUS
  }

  /**
   * Begins the response of an attempt.
   *
   * @param head - head of a response whose request was executed
   * @param resume - resumes reading after {@link ResponseRelay.data} returned false
   */
  begin (head: ResponseHead, resume: () => void): void {
    this.#head = head
    this.#resume = resume
    this.#isWithheld = NOT_RUN_STATUSES.has(head.status)
    this.#isContinuation = this.#cursor !== undefined && this.exchange.hasHead
    const hasEvents = this.kind.isStream && isEventStream(head)
    this.#isOpaque = !hasEvents && !this.#isContinuation
    // A failure is buffered, because the request may be retried. What an earlier attempt left in the buffer is not part of this response.
    this.#buffered = !this.kind.isStream || head.status !== OK || (this.#isContinuation && !hasEvents) ? [] : undefined
    this.#bufferedBytes = 0
    this.#droppedBytes = 0
    this.#scanner = this.kind.isStream && this.#cursor === undefined && mustEndAfterEvent(head) ? new EventScanner() : undefined
  }

  /**
   * @param chunk - next bytes of the attempt's response
   * @returns false to pause reading
   */
  data (chunk: Buffer): boolean {
    if (this.#buffered !== undefined) return this.#buffer(this.#buffered, chunk)
    if (this.#scanner !== undefined) scanAll(this.#scanner, chunk)
    const bytes = this.#cursor === undefined || this.#isOpaque ? chunk : this.#cursor.push(chunk)
    return bytes.length === 0 || this.#forward(bytes)
  }

  /** Discards what was received from an attempt and not forwarded. */
  dropIncomplete (): void {
    this.#buffered = undefined
    this.#bufferedBytes = 0
    this.#cursor?.discardPartialEvent()
  }

  /**
   * Passes on what is kept of the current response, so that it occupies no memory. The request can't be retried any more.
   *
   * @returns false if nothing of it can be passed on before it is complete
   */
  passOnUnfinished (): boolean {
    if (this.#buffered === undefined || this.#isDropped) return false
    this.#passOnBuffer(this.#buffered)
    return true
  }

  /** Ends the response as complete. */
  complete (): void {
    const head = this.#head
    if (head === undefined) return
    if (this.#buffered !== undefined) {
      this.exchange.sendWhole(head.status, head.headers, Buffer.concat(this.#buffered))
      return
    }
    this.#writeHead(head)
    const remainder = this.#isOpaque ? undefined : this.#cursor?.takeRemainder()
    if (remainder !== undefined && remainder.length > 0) this.exchange.write(remainder)
    this.exchange.end()
  }

  #buffer (held: Buffer[], chunk: Buffer): boolean {
    if (this.#isDropped) {
      this.#droppedBytes += chunk.length
      return true
    }
    held.push(chunk)
    this.#bufferedBytes += chunk.length
    return this.#bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES || this.#passOnBuffer(held)
  }

  /** Whether nothing of the current response is passed on in any case. */
  get #isDropped (): boolean { return this.#buffered !== undefined && (this.#isContinuation || this.#isWithheld) }

  #passOnBuffer (held: readonly Buffer[]): boolean {
    this.#buffered = undefined
    this.#bufferedBytes = 0
    return this.#forward(Buffer.concat(held))
  }

  #writeHead ({ status, headers }: ResponseHead): void {
    if (!this.exchange.hasHead) this.exchange.writeHead(status, headers, !this.canResume)
  }

  #forward (bytes: Buffer): boolean {
    if (this.#head !== undefined) this.#writeHead(this.#head)
    if (this.exchange.write(bytes)) return true
    this.exchange.onceDrained(() => { this.#resume() })
    return false
  }
}

function scanAll (scanner: EventScanner, chunk: Buffer): void {
  for (let at = 0; at >= 0;) at = scanner.scan(chunk, at)
}
