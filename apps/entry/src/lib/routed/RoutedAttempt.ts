/** One attempt to send a routed request to an endpoint, from the connection to the end of the response. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import { isUnsendable, type CancelRequest, type EndpointConnection, type EndpointRequest } from './EndpointConnection.js'
import type { EndpointConnections } from './EndpointConnections.js'
import type { ResponseFields, RequestCodec } from './RequestCodec.js'
import type { RoutedFleet, WorkChange } from './RoutedFleet.js'

/** Head of a response, with the fields that were read from its headers. */
export interface ResponseHead {
  readonly status: number
  readonly headers: readonly string[]
  readonly fields: ResponseFields
}

/** Identifies one send of a request. */
export interface SendIdentity {
  /** Local port of the connection. */
  readonly localPort: number
  /** Responses that the connection had brought before. */
  readonly carried: number
  readonly sentAgoMs: number
}

/** Receives the response of an attempt; `failed` or `complete` is the last call. */
export interface AttemptListener {
  /** Called before the first byte may be sent. @returns false if the request may not be sent any more */
  sending (): boolean
  head (attempt: RoutedAttempt, head: ResponseHead, resume: () => void): void
  /** @returns false to pause until `resume` */
  data (attempt: RoutedAttempt, chunk: Buffer): boolean
  complete (attempt: RoutedAttempt): void
  failed (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head: ResponseHead | undefined): void
  /** Called if the endpoint has not taken the whole request. @returns called once it has, or the connection has closed */
  unread (attempt: RoutedAttempt, bytes: number): () => void
}

const MISDIRECTED = 421

/** Most bytes and longest time, in milliseconds, of the body of a rejection. A connection on which it goes on is closed. */
const MAX_REJECTION_BYTES = 64 * 1024
const MAX_REJECTION_MS = 200

/** Sends a request once. The connection is reused only after a complete response that belongs to the request. */
export class RoutedAttempt {
  #cancel: CancelRequest = () => {}
  #head: ResponseHead | undefined
  #sent: { readonly at: number, readonly localPort: number, readonly carried: number } | undefined
  #hasEnded = false
  #isReadingPrompt = true
  #answerBytes = 0
  #transitBytes = 0
  #longestPauseMs: number | undefined
  #rejectionTimer: NodeJS.Timeout | undefined
  #startTimer: NodeJS.Timeout | undefined
  readonly startedAt = performance.now()

  /**
   * @param choice - endpoint that was chosen
   * @param requestId - request id that the response must carry, if it carries any
   * @param connections - this host's connections to that endpoint
   * @param connection - connection to use
   * @param fleet - counts the load of the attempt
   * @param codec - reads the response headers
   * @param listener - receives the response
   */
  constructor (
    readonly choice: EndpointChoice,
    private readonly requestId: string,
    private readonly connections: EndpointConnections,
    private readonly connection: EndpointConnection,
    private readonly fleet: Pick<RoutedFleet, 'storeLinks' | 'noteWork' | 'transit' | 'observeTransitFailure' | 'observeBytes' | 'links'>,
    private readonly codec: RequestCodec,
    private readonly listener: AttemptListener
  ) {}

  /** Whether the first byte may have been sent. */
  get wasSent (): boolean { return this.#sent !== undefined }
  /** The send, for the log; undefined before it. */
  get sendIdentity (): SendIdentity | undefined {
    if (this.#sent === undefined) return undefined
    const { at, localPort, carried } = this.#sent
    return { localPort, carried, sentAgoMs: Math.round(performance.now() - at) }
  }

  /** Milliseconds since the attempt was created. */
  get ageMs (): number { return performance.now() - this.startedAt }
  get hasHead (): boolean { return this.#head !== undefined }
  /** Whether the endpoint has begun to answer a request that it executes. */
  get isAnswering (): boolean { return this.#head !== undefined && !this.#head.fields.isNotExecuted }
  /** Bytes of the response body that have arrived. */
  get answerBytes (): number { return this.#answerBytes }

  /** Whether its connection has carried nothing since its endpoint, or several of the service, stopped responding; they may have answered over others since. */
  get isDoubted (): boolean { return this.connections.isDoubted(this.connection) }

  /**
   * @param request - request to send
   * @param startWithinMs - time after which the request may not begin, in milliseconds; infinite if there is no bound
   */
  send (request: EndpointRequest, startWithinMs = Number.POSITIVE_INFINITY): void {
    this.choice.endpoint.beginRequest(this.choice.prefill.tokensToRead, this.choice.tokensHeld, performance.now())
    this.fleet.storeLinks.beginTransfers(this.choice.prefill.transfers)
    this.#noteWork('sent')
    this.#transitBytes = request.body?.length ?? 0
    this.fleet.transit.begin(this.choice.endpoint.incarnation, this.#transitBytes)
    this.#cancel = this.connection.send(request, {
      sending: () => {
        if (this.#hasEnded) return false
        if (!this.listener.sending()) {
          this.cancel()
          return false
        }
        this.#sent = { at: performance.now(), localPort: this.connection.localPort, carried: this.connection.responses }
        return true
      },
      head: (status, headers, resume) => { this.#onHead(status, headers, resume) },
      data: chunk => this.#onData(chunk),
      complete: () => { this.#onComplete() },
      unread: bytes => this.#hasEnded ? () => {} : this.listener.unread(this, bytes),
      failed: error => { this.#fail(this.#failureOf(error), error.message) }
    })
    if (Number.isFinite(startWithinMs)) this.#startTimer = setTimeout(() => { this.#withdraw() }, startWithinMs)
  }

  #failureOf (error: Error): AttemptFailure {
    if (this.wasSent) return 'lost'
    return isUnsendable(error) ? 'unsendable' : 'not-connected'
  }

  /** Closes the connection, so that the endpoint drops a request that still waits there. */
  #withdraw (): void {
    // A head that arrived in time may not have been read yet.
    setImmediate(() => { if (this.#head === undefined) this.#fail('not-started', 'it had not begun when the weights of the endpoint could no longer be used') })
  }

  /**
   * Counts the attempt among the streams of the endpoint whose pauses are limited, until it ends. Streams are counted before
   * their first event, because they run by the time at which a prompt that is placed now is prefilled.
   *
   * @param longestPauseMs - longest pause that its caller allows, in milliseconds; 0 if there is no limit
   */
  beginStream (longestPauseMs: number): void {
    if (this.#longestPauseMs !== undefined || this.#hasEnded) return
    this.#longestPauseMs = longestPauseMs
    this.choice.endpoint.runningStreams.begin(longestPauseMs)
  }

  /** Ends the attempt without calling the listener. The endpoint learns of it because the connection closes. */
  cancel (): void {
    if (this.#hasEnded) return
    this.#end()
    this.connection.close()
    this.#cancel()
  }

  /** Removes the attempt from the endpoint's load. */
  #end (): void {
    this.#hasEnded = true
    clearTimeout(this.#rejectionTimer)
    clearTimeout(this.#startTimer)
    this.#endTransit()
    this.#endPromptReading()
    if (this.#longestPauseMs !== undefined) this.choice.endpoint.runningStreams.end(this.#longestPauseMs)
    this.choice.endpoint.endRequest(this.choice.tokensHeld)
    this.#noteWork('eased')
  }

  /** The endpoint has the request, or will not get it. */
  #endTransit (): void {
    this.fleet.transit.end(this.choice.endpoint.incarnation, this.#transitBytes)
    this.#transitBytes = 0
  }

  /** The endpoint has rejected the request or broken off before it answered, possibly because of the bytes that were in transit to it. */
  #observeTransitFailure (): void {
    if (this.#transitBytes > 0) this.fleet.observeTransitFailure(this.choice.endpoint)
  }

  #noteWork (change: WorkChange): void {
    this.fleet.noteWork(change, this.choice.endpoint.listed.service)
  }

  /** Removes the prompt from the endpoint's load; the first bytes of the body show that it has been fetched and read. */
  #endPromptReading (): void {
    if (!this.#isReadingPrompt) return
    this.#isReadingPrompt = false
    this.choice.endpoint.recordFirstEvent(this.choice.prefill.tokensToRead)
    this.fleet.storeLinks.endTransfers(this.choice.prefill.transfers)
    this.#noteWork('eased')
  }

  #onHead (status: number, headers: string[], resume: () => void): void {
    if (this.#hasEnded) return
    this.fleet.observeBytes(this.choice.endpoint)
    if (this.connection.responses === 1) this.fleet.links.observeNewConnection(this.choice.endpoint)
    const fields = this.codec.readResponseHeaders(status, headers)
    const doubt = this.connection.attribution.attribute(this.requestId, fields)
    if (doubt !== undefined) {
      // Nothing that follows on this connection can be trusted.
      this.#fail('lost', doubt)
      return
    }
    this.#head = { status, headers, fields }
    clearTimeout(this.#startTimer)
    if (fields.isNotExecuted) {
      this.#observeTransitFailure()
      this.#rejectionTimer = setTimeout(() => { this.#endRejection() }, MAX_REJECTION_MS)
    }
    this.#endTransit()
    this.listener.head(this, this.#head, resume)
  }

  #onData (chunk: Buffer): boolean {
    if (this.#hasEnded || this.#head === undefined) return true
    this.#endPromptReading()
    this.#answerBytes += chunk.length
    this.fleet.observeBytes(this.choice.endpoint)
    if (!this.#head.fields.isNotExecuted) return this.listener.data(this, chunk)
    if (this.#answerBytes > MAX_REJECTION_BYTES) this.#endRejection()
    return true
  }

  #endRejection (): void {
    this.#fail('lost', `status ${this.#head?.status ?? 0}, not executed, and the body goes on`)
  }

  #onComplete (): void {
    if (this.#hasEnded) return
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
    this.listener.failed(this, rejectionOf(head), `status ${head.status}, not executed`, head)
  }

  #observeLostContact (): void {
    const { endpoint } = this.choice
    endpoint.contact.observeFailure(performance.now())
    if (this.connection.responses === 0) this.fleet.links.observeLostNewConnection(endpoint)
  }

  #fail (failure: AttemptFailure, detail: string): void {
    if (this.#hasEnded) return
    if (failure === 'lost' && !this.choice.endpoint.isLeaving) this.#observeTransitFailure()
    if (this.#head === undefined && failure !== 'not-started' && failure !== 'unsendable') this.#observeLostContact()
    this.#end()
    this.connection.close()
    // The head alone states that the request was not executed, also if the connection breaks before the body is complete.
    const isRejection = this.#head?.fields.isNotExecuted === true
    this.listener.failed(this, isRejection ? rejectionOf(this.#head) : failure, detail, this.#head)
  }
}

/** Returns the kind of failure for a head which states that the request was not executed. */
function rejectionOf (head: ResponseHead | undefined): AttemptFailure {
  return head?.status === MISDIRECTED ? 'misdirected' : 'rejected'
}
