/** Passes an endpoint's answer on to the caller: events as they come, everything else when it is whole. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/nextStep'
import { EventCursor } from '@eelgrassmux/runs/EventCursor'
import type { CallerExchange } from './CallerExchange.js'
import type { ResponseHead } from './RoutedAttempt.js'

/** Whole answers up to this size are passed on only when they are complete, so that a broken one can be asked for again; in bytes. */
const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

const OK = 200

/** Answers from this status on are failures of the endpoint. */
const FIRST_SERVER_ERROR_STATUS = 500

/** What kind of answer is expected. */
export interface RelayKind {
  readonly isStream: boolean
  /** Whether a broken stream may go on at another endpoint. */
  readonly isResumable: boolean
  /** Event behind which the caller asked to go on. */
  readonly lastEventId: number | undefined
}

/** Why an answer that has ended can't be passed on. */
export interface ResponseFault {
  readonly failure: AttemptFailure
  readonly detail: string
}

/** The answer to one request, over all its attempts. */
export class ResponseRelay {
  readonly #cursor: EventCursor | undefined
  #head: ResponseHead | undefined
  #resume: () => void = () => {}
  #buffered: Buffer[] | undefined
  #bufferedBytes = 0

  /**
   * @param exchange - the caller's side
   * @param kind - what is expected
   */
  constructor (private readonly exchange: CallerExchange, private readonly kind: RelayKind) {
    if (kind.isStream && kind.isResumable) this.#cursor = new EventCursor(kind.lastEventId)
  }

  /** Whether a further attempt may go on behind what was passed on. */
  get canResume (): boolean { return this.#cursor !== undefined }
  /** Event behind which the next attempt goes on. */
  get lastEventId (): number | undefined { return this.#cursor?.lastId ?? this.kind.lastEventId }
  get head (): ResponseHead | undefined { return this.#head }
  /** Why the present attempt's answer, which has ended, is not the rest of what the caller has. */
  get fault (): ResponseFault | undefined {
    if (this.#cursor?.isInsideEvent === true) return { failure: 'lost', detail: 'the stream ended inside an event' }
    if (this.canResume && this.exchange.hasHead && this.#head?.status !== OK) return { failure: 'failed', detail: `status ${this.#head?.status ?? 0} in place of the rest of the stream` }
    return undefined
  }

  /**
   * @param head - of another attempt's answer
   * @returns whether it could be passed on behind what the caller has
   */
  canContinueWith ({ status }: ResponseHead): boolean {
    return this.canResume && this.exchange.hasHead ? status === OK : status < FIRST_SERVER_ERROR_STATUS
  }

  /**
   * Takes the head of an attempt's answer.
   *
   * @param head - of an answer that was executed
   * @param resume - goes on after {@link ResponseRelay.data} asked to pause
   */
  begin (head: ResponseHead, resume: () => void): void {
    this.#head = head
    this.#resume = resume
    // A failure is looked at whole before anything is passed on; what an earlier attempt left of one is not part of this answer.
    this.#buffered = !this.kind.isStream || head.status !== OK ? [] : undefined
    this.#bufferedBytes = 0
  }

  /**
   * @param chunk - next bytes of the attempt's answer
   * @returns false to pause
   */
  data (chunk: Buffer): boolean {
    if (this.#buffered !== undefined) return this.#buffer(this.#buffered, chunk)
    const bytes = this.#cursor === undefined ? chunk : this.#cursor.push(chunk)
    return bytes.length === 0 || this.#forward(bytes)
  }

  /** Forgets what an attempt left that was not passed on. */
  dropIncomplete (): void {
    this.#buffered = undefined
    this.#bufferedBytes = 0
    this.#cursor?.dropIncomplete()
  }

  /** Ends the answer as complete. */
  complete (): void {
    const head = this.#head
    if (head === undefined) return
    if (this.#buffered !== undefined) {
      this.exchange.sendWhole(head.status, head.headers, Buffer.concat(this.#buffered))
      return
    }
    if (!this.exchange.hasHead) this.exchange.writeHead(head.status, head.headers)
    this.exchange.end()
  }

  #buffer (held: Buffer[], chunk: Buffer): boolean {
    held.push(chunk)
    this.#bufferedBytes += chunk.length
    if (this.#bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES) return true
    this.#buffered = undefined
    return this.#forward(Buffer.concat(held))
  }

  #forward (bytes: Buffer): boolean {
    if (!this.exchange.hasHead && this.#head !== undefined) this.exchange.writeHead(this.#head.status, this.#head.headers)
    if (this.exchange.write(bytes)) return true
    this.exchange.onceDrained(() => { this.#resume() })
    return false
  }
}
