/** Passes an endpoint's answer on to the caller: events as they come, everything else when it is whole. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import { EventCursor } from '@eelgrassmux/runs/EventCursor'
import type { CallerExchange } from './CallerExchange.js'
import type { AnswerHead } from './RoutedAttempt.js'

/** Whole answers up to this size are passed on only when they are complete, so that a broken one can be asked for again; in bytes. */
const HELD_ANSWER_BYTES = 256 * 1024

const OK = 200

/** Answers from this status on are failures of the endpoint. */
const FIRST_FAILURE_STATUS = 500

/** What kind of answer is expected. */
export interface RelayKind {
  readonly isStream: boolean
  /** Whether a broken stream may go on at another endpoint. */
  readonly isResumable: boolean
  /** Event behind which the caller asked to go on. */
  readonly lastEventId: number | undefined
}

/** Why an answer that has ended can't be passed on. */
export interface AnswerFault {
  readonly failure: AttemptFailure
  readonly detail: string
}

/** The answer to one request, over all its attempts. */
export class AnswerRelay {
  readonly #cursor: EventCursor | undefined
  #head: AnswerHead | undefined
  #resume: () => void = () => {}
  #held: Buffer[] | undefined
  #heldBytes = 0

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
  get head (): AnswerHead | undefined { return this.#head }
  /** Why the present attempt's answer, which has ended, is not the rest of what the caller has. */
  get fault (): AnswerFault | undefined {
    if (this.#cursor?.hasPartialEvent === true) return { failure: 'lost', detail: 'the stream ended inside an event' }
    if (this.canResume && this.exchange.hasHead && this.#head?.status !== OK) return { failure: 'failed', detail: `status ${this.#head?.status ?? 0} in place of the rest of the stream` }
    return undefined
  }

  /**
   * @param head - of another attempt's answer
   * @returns whether it could be passed on behind what the caller has
   */
  canTake ({ status }: AnswerHead): boolean {
    return this.canResume && this.exchange.hasHead ? status === OK : status < FIRST_FAILURE_STATUS
  }

  /**
   * Takes the head of an attempt's answer.
   *
   * @param head - of an answer that was executed
   * @param resume - goes on after {@link AnswerRelay.data} asked to pause
   */
  begin (head: AnswerHead, resume: () => void): void {
    this.#head = head
    this.#resume = resume
    // A failure is looked at whole before anything is passed on; what an earlier attempt left of one is not part of this answer.
    this.#held = !this.kind.isStream || head.status !== OK ? [] : undefined
    this.#heldBytes = 0
  }

  /**
   * @param chunk - next bytes of the attempt's answer
   * @returns false to pause
   */
  data (chunk: Buffer): boolean {
    if (this.#held !== undefined) return this.#hold(this.#held, chunk)
    const bytes = this.#cursor === undefined ? chunk : this.#cursor.push(chunk)
    return bytes.length === 0 || this.#passOn(bytes)
  }

  /** Forgets what an attempt left that was not passed on. */
  dropIncomplete (): void {
    this.#held = undefined
    this.#heldBytes = 0
    this.#cursor?.discardPartialEvent()
  }

  /** Ends the answer as complete. */
  complete (): void {
    const head = this.#head
    if (head === undefined) return
    if (this.#held !== undefined) {
      this.exchange.answer(head.status, head.headers, Buffer.concat(this.#held))
      return
    }
    if (!this.exchange.hasHead) this.exchange.writeHead(head.status, head.headers)
    this.exchange.end()
  }

  #hold (held: Buffer[], chunk: Buffer): boolean {
    held.push(chunk)
    this.#heldBytes += chunk.length
    if (this.#heldBytes <= HELD_ANSWER_BYTES) return true
    this.#held = undefined
    return this.#passOn(Buffer.concat(held))
  }

  #passOn (bytes: Buffer): boolean {
    if (!this.exchange.hasHead && this.#head !== undefined) this.exchange.writeHead(this.#head.status, this.#head.headers)
    if (this.exchange.write(bytes)) return true
    this.exchange.onceWritable(() => { this.#resume() })
    return false
  }
}
