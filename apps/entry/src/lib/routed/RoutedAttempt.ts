/** One send of a routed request to one endpoint, from its connection to the end of the answer. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { CancelRequest, EndpointConnection, EndpointRequest } from './EndpointConnection.js'
import type { EndpointConnections } from './EndpointConnections.js'
import type { ResponseFields, RequestCodec } from './RequestCodec.js'
import type { RoutedFleet } from './RoutedFleet.js'

/** An answer's head, read. */
export interface AnswerHead {
  readonly status: number
  readonly headers: readonly string[]
  readonly fields: ResponseFields
}

/** Told of the answer; after `failed` or `complete` nothing more comes. */
export interface AttemptListener {
  /** The first byte may leave from now on. */
  sending (): void
  head (attempt: RoutedAttempt, head: AnswerHead, resume: () => void): void
  /** @returns false to pause until `resume` */
  data (attempt: RoutedAttempt, chunk: Buffer): boolean
  complete (attempt: RoutedAttempt): void
  failed (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head: AnswerHead | undefined): void
}

const MISDIRECTED = 421

/** Sends once; its connection is kept only after a whole answer that belongs to the request. */
export class RoutedAttempt {
  #cancel: CancelRequest = () => {}
  #head: AnswerHead | undefined
  #wasSent = false
  #hasCrashed = false
  #isReading = true
  readonly startedAt = performance.now()

  /**
   * @param choice - where it goes
   * @param requestId - id that the answer must bear
   * @param connections - this host's connections to that endpoint
   * @param connection - the one to use
   * @param fleet - where the work that it causes is counted
   * @param codec - reads the answer's headers
   * @param listener - told of the answer
   */
  constructor (
    readonly choice: EndpointChoice,
    private readonly requestId: string,
    private readonly connections: EndpointConnections,
    private readonly connection: EndpointConnection,
    private readonly fleet: Pick<RoutedFleet, 'storeLinks' | 'noteWork'>,
    private readonly codec: RequestCodec,
    private readonly listener: AttemptListener
  ) {}

  /** Whether the first byte may have left. */
  get wasSent (): boolean { return this.#wasSent }
  /** Milliseconds since it was made. */
  get ageMs (): number { return performance.now() - this.startedAt }
  get hasHead (): boolean { return this.#head !== undefined }

  /** @param request - what to send */
  send (request: EndpointRequest): void {
    this.choice.endpoint.beginRequest(this.choice.prefill.tokensToRead, this.choice.tokensHeld, performance.now())
    this.fleet.storeLinks.beginTransfers(this.choice.prefill.transfers)
    this.fleet.noteWork('sent')
    this.#cancel = this.connection.send(request, {
      sending: () => {
        this.#wasSent = true
        this.listener.sending()
      },
      head: (status, headers, resume) => { this.#onHead(status, headers, resume) },
      data: chunk => this.#onData(chunk),
      complete: () => { this.#onComplete() },
      failed: error => { this.#fail(this.#wasSent ? 'lost' : 'not-connected', error.message) }
    })
  }

  /** Ends the attempt; the endpoint notices by the closed connection, and the listener hears nothing more. */
  cancel (): void {
    if (this.#hasCrashed) return
    this.#end()
    this.connection.close()
    this.#cancel()
  }

  /** The endpoint's work ends here, as far as this host counts it. */
  #end (): void {
    this.#hasCrashed = true
    this.#endReading()
    this.choice.endpoint.endRequest(this.choice.tokensHeld)
    this.fleet.noteWork('eased')
  }

  /** With the first event, the prompt has been fetched and read. */
  #endReading (): void {
    if (!this.#isReading) return
    this.#isReading = false
    this.choice.endpoint.recordFirstEvent(this.choice.prefill.tokensToRead)
    this.fleet.storeLinks.endTransfers(this.choice.prefill.transfers)
    this.fleet.noteWork('eased')
  }

  #onHead (status: number, headers: string[], resume: () => void): void {
    if (this.#hasCrashed) return
    this.choice.endpoint.observeBytes(performance.now())
    const fields = this.codec.readResponseHeaders(status, headers)
    if (fields.requestId !== undefined && fields.requestId !== this.requestId) {
      // An extra answer to an earlier request: what follows on this connection can't be trusted.
      this.#fail('lost', `the answer bears the id ${fields.requestId}`)
      return
    }
    this.#head = { status, headers, fields }
    this.listener.head(this, this.#head, resume)
  }

  #onData (chunk: Buffer): boolean {
    if (this.#hasCrashed || this.#head === undefined) return true
    this.#endReading()
    this.choice.endpoint.observeBytes(performance.now())
    return this.#head.fields.isNotExecuted || this.listener.data(this, chunk)
  }

  #onComplete (): void {
    if (this.#hasCrashed) return
    const head = this.#head
    if (head === undefined) {
      this.#fail('lost', 'the answer ended without a head')
      return
    }
    this.#end()
    this.connections.release(this.connection)
    if (!head.fields.isNotExecuted) {
      this.listener.complete(this)
      return
    }
    this.listener.failed(this, head.status === MISDIRECTED ? 'misdirected' : 'rejected', `status ${head.status}, not executed`, head)
  }

  #fail (failure: AttemptFailure, detail: string): void {
    if (this.#hasCrashed) return
    this.#end()
    this.connection.close()
    this.listener.failed(this, failure, detail, this.#head)
  }
}
