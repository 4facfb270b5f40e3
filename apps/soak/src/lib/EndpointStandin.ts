/** A stand-in for an endpoint, with or without model weights, that prints a line before each run. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { ConditionState } from './ConditionState.js'
import { SecondAnswers } from './SecondAnswers.js'
import { sendWithoutEnd } from './sendWithoutEnd.js'
import { CRASHED_BY_REQUEST_EXIT_CODE, FELL_OVER_EXIT_CODE, REQUESTED_PAUSE_MS, REQUESTED_RATE_PER_SECOND, conditionSchema, orderSchema, restraintSchema, workSchema, type EndlessPart, type EndpointLine, type RestraintKind, type StreamEvent, type Work } from './standinProtocol.js'
import { RestraintState } from './RestraintState.js'
import { HEADER } from './soakHeaders.js'
import { WeightsState } from './WeightsState.js'

/** Identity of a stand-in and the weights that it has loaded at the start. */
export interface EndpointIdentity {
  readonly id: string
  readonly model: string
  readonly version: number
  /** Version of the software, which each event states. */
  readonly software: string
}

const OK = 200
const UNAVAILABLE = 503
const MISDIRECTED = 421

const MILLISECONDS_PER_SECOND = 1000

/** Pace of a machine that is not slow, in hundredths of the usual time. */
const USUAL_PACE = 100

/** Slots that the stand-in states; the endpoint list has the same number. */
const SLOTS = 16

/** Serves requests until closed. */
export class EndpointStandin {
  readonly #weights: WeightsState
  readonly #server: Server
  #runs = 0
  readonly #restraint = new RestraintState()
  readonly #conditions = new ConditionState()
  readonly #secondAnswers = new SecondAnswers()
  /** Times of the rejections in the last second, in monotonic milliseconds. */
  #rejectedAt: number[] = []

  /**
   * @param identity - name of the incarnation, and its weights
   * @param print - writes one line synchronously
   * @param exit - ends the process immediately with an exit code
   */
  constructor (private readonly identity: EndpointIdentity, private readonly print: (line: EndpointLine) => void, private readonly exit: (code: number) => void) {
    this.#weights = new WeightsState(identity.version, () => this.#runs, version => {
      print({ event: 'weights', endpoint: identity.id, version })
    })
    this.#server = createServer({ keepAliveTimeout: 5000 }, (request, response) => { void this.#serve(request, response) })
  }

  /**
   * @param host - IP address to listen on
   * @returns the port, which the operating system chooses
   */
  async listen (host: string): Promise<number> {
    await new Promise<void>(resolve => { this.#server.listen(0, host, resolve) })
    return (this.#server.address() as AddressInfo).port
  }

  /** Stops accepting connections and waits until the current requests have ended. */
  async close (): Promise<void> {
    this.#server.closeIdleConnections()
    await new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    // A caller that has disconnected shows as a destroyed response; the socket error adds nothing.
    response.on('error', () => { response.destroy() })
    const body = await readBody(request)
    if (body === undefined) return
    response.setHeader(HEADER.answeredBy, this.identity.id)
    this.#secondAnswers.writeDue(request.socket)
    if (request.headers[HEADER.instance] !== this.identity.id) this.#reject(response, MISDIRECTED)
    else if (request.url === '/weights') this.#answerWeights(request, response, body)
    else if (request.url === '/restraint') this.#setRestraint(response, body)
    else if (request.url === '/condition') this.#setCondition(response, body)
    else await this.#executeWork(request, response, body)
  }

  #reject (response: ServerResponse, status: number): void {
    const fields = { [HEADER.requestId]: headerOf(response.req, HEADER.requestId), [HEADER.notRun]: '1' }
    this.#answerTwice(response, status, fields, '')
    response.writeHead(status, { ...fields, 'content-length': '0' })
    response.end()
  }

  #answerTwice (response: ServerResponse, status: number, fields: Readonly<Record<string, string>>, body: string): void {
    const kind = this.#conditions.secondAnswers(performance.now())
    if (kind !== undefined) this.#secondAnswers.add(response, kind, status, fields, body)
  }

  #setRestraint (response: ServerResponse, body: string): void {
    this.#restraint.set(restraintSchema.parse(JSON.parse(body)), performance.now())
    response.end()
  }

  #setCondition (response: ServerResponse, body: string): void {
    this.#conditions.set(conditionSchema.parse(JSON.parse(body)), performance.now())
    response.end()
  }

  /** Rejects a request without asking for anything. */
  #turnAway (request: IncomingMessage, response: ServerResponse): void {
    this.print({ event: 'turned-away', requestId: headerOf(request, HEADER.requestId), endpoint: this.identity.id, at: Date.now() })
    const now = performance.now()
    this.#rejectedAt = [...this.#rejectedAt.filter(at => at > now - MILLISECONDS_PER_SECOND), now]
    if (this.#rejectedAt.length > (this.#conditions.bears(now) ?? Number.POSITIVE_INFINITY)) this.exit(FELL_OVER_EXIT_CODE)
    this.#reject(response, UNAVAILABLE)
  }

  /** Asks for a pause, which takes a rejection; other restraints are asked for in ordinary answers. */
  #rejectWithPause (request: IncomingMessage, response: ServerResponse): void {
    this.print({ event: 'rejected', requestId: headerOf(request, HEADER.requestId), endpoint: this.identity.id, at: Date.now() })
    response.setHeader(HEADER.retryAfter, String(REQUESTED_PAUSE_MS / MILLISECONDS_PER_SECOND))
    this.#reject(response, UNAVAILABLE)
  }

  #answerWeights (request: IncomingMessage, response: ServerResponse, body: string): void {
    const { loadedVersion: held, isBusy, acceptedOrders } = this.#weights
    if (request.method === 'GET') {
      response.end(JSON.stringify({ model: this.identity.model, version: held, isBusy, acceptedOrders }))
      return
    }
    const order = orderSchema.parse(JSON.parse(body))
    response.writeHead(this.#weights.order(order.version, order.expectedOrders))
    response.end()
  }

  async #executeWork (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const requiredVersion = request.headers[HEADER.version]
    const now = performance.now()
    this.#stateBrittleness(response, now)
    const isOtherVersion = requiredVersion !== undefined && Number(requiredVersion) !== this.#weights.loadedVersion
    if (this.#weights.isBusy || isOtherVersion || this.#runs >= this.#conditions.places(now)) {
      this.#turnAway(request, response)
      return
    }
    const asks = this.#restraint.activeAt(now)
    if (asks === 'pause') {
      this.#rejectWithPause(request, response)
      return
    }
    if (asks === 'rate') response.setHeader(HEADER.rateLimit, String(REQUESTED_RATE_PER_SECOND))
    const pace = this.#conditions.pace(now)
    if (pace !== USUAL_PACE) response.setHeader(HEADER.load, `${this.#runs},0,${SLOTS},${pace}`)
    if (asks === 'leaving') response.setHeader(HEADER.leaving, '1')
    const work = workSchema.parse(JSON.parse(headerOf(request, HEADER.work)))
    const endlessPart = this.#conditions.endlessPart(now)
    if (endlessPart !== undefined) {
      if (endlessPart !== 'rejection') this.#printRun(request, work, asks)
      await this.#answerWithoutEnd(request, response, work, endlessPart)
      return
    }
    this.#runs += 1
    try {
      this.#printRun(request, work, asks)
      if (work.crashesEndpointAfterMs !== undefined) await this.#crashAfter(work.crashesEndpointAfterMs)
      if (work.fault === 'run-then-reject') this.#reject(response, UNAVAILABLE)
      else if (work.kind === 'plain') await this.#answer(request, response, work, body)
      else await this.#stream(request, response, work)
    } finally {
      this.#runs -= 1
    }
  }

  /** Sends an answer until its connection is closed. */
  async #answerWithoutEnd (request: IncomingMessage, response: ServerResponse, { kind }: Work, part: EndlessPart): Promise<void> {
    const requestId = headerOf(request, HEADER.requestId)
    const fields = part === 'rejection'
      ? { [HEADER.answeredBy]: this.identity.id, [HEADER.notRun]: '1' }
      : { [HEADER.answeredBy]: this.identity.id, [HEADER.requestId]: requestId, [HEADER.version]: String(this.#weights.loadedVersion), ...(kind === 'stream' ? { 'content-type': 'text/event-stream' } : {}) }
    this.print({ event: 'endless-begun', requestId, endpoint: this.identity.id, part, at: Date.now() })
    const bytes = await sendWithoutEnd(response, part, part === 'rejection' ? UNAVAILABLE : OK, fields)
    this.print({ event: 'endless-closed', requestId, endpoint: this.identity.id, bytes, at: Date.now() })
  }

  /** States with each answer how many rejections are tolerated, and how many requests may run at once. */
  #stateBrittleness (response: ServerResponse, now: number): void {
    const bears = this.#conditions.bears(now)
    if (bears === undefined) return
    response.setHeader(HEADER.brittle, String(bears))
    response.setHeader(HEADER.load, `${this.#runs},0,${Math.min(SLOTS, this.#conditions.places(now))}`)
  }

  async #crashAfter (milliseconds: number): Promise<void> {
    await sleep(milliseconds)
    this.exit(CRASHED_BY_REQUEST_EXIT_CODE)
  }

  #printRun (request: IncomingMessage, { fault }: Work, asks: Exclude<RestraintKind, 'pause'> | undefined): void {
    const line: EndpointLine = {
      event: 'run',
      requestId: headerOf(request, HEADER.requestId),
      endpoint: this.identity.id,
      customer: fault === 'other-customer' ? 'somebody-else' : headerOf(request, HEADER.customer),
      cacheSalt: headerOf(request, HEADER.cacheSalt),
      hasKey: request.headers[HEADER.key] !== undefined,
      version: this.#weights.loadedVersion,
      after: Number(request.headers[HEADER.lastEvent] ?? 0),
      ...(asks === undefined ? {} : { asks }),
      at: Date.now()
    }
    this.print(line)
    if (fault === 'run-twice') this.print(line)
  }

  /** Works for a time that is given at the usual pace, in milliseconds. */
  async #work (milliseconds: number): Promise<void> {
    await sleep(milliseconds * this.#conditions.pace(performance.now()) / USUAL_PACE)
  }

  async #answer (request: IncomingMessage, response: ServerResponse, work: Extract<Work, { kind: 'plain' }>, body: string): Promise<void> {
    await this.#work(work.milliseconds)
    if (work.fault === 'cut') {
      response.destroy()
      return
    }
    const requestId = headerOf(request, HEADER.requestId)
    response.setHeader(HEADER.requestId, requestId)
    const answer = JSON.stringify({ requestId: work.fault === 'foreign-answer' ? 'another' : requestId, echo: body, customer: headerOf(request, HEADER.customer) })
    this.#answerTwice(response, OK, { [HEADER.requestId]: requestId }, answer)
    response.end(answer)
  }

  /** A break on purpose: the last event states another version of the software. */
  #softwareOf ({ fault, events }: Extract<Work, { kind: 'stream' }>, number: number): string {
    return fault === 'mixed-software' && number === events ? `${this.identity.software}-other` : this.identity.software
  }

  async #stream (request: IncomingMessage, response: ServerResponse, work: Extract<Work, { kind: 'stream' }>): Promise<void> {
    const requestId = headerOf(request, HEADER.requestId)
    const version = this.#weights.loadedVersion
    response.writeHead(200, { [HEADER.requestId]: requestId, [HEADER.version]: String(version), 'content-type': 'text/event-stream' })
    // Without this, the head leaves with the first event, long after the moment that the checks take for its time.
    response.flushHeaders()
    const lastNumber = work.fault === 'early-end' ? work.events - 1 : work.events
    for (let number = Number(request.headers[HEADER.lastEvent] ?? 0) + 1; number <= lastNumber; number += 1) {
      await this.#work(work.intervalMs)
      if (response.destroyed) return
      if (work.fault === 'cut' && number > 1) {
        response.destroy()
        return
      }
      if (work.fault === 'event-missing' && number === 2) continue
      const reportedVersion = work.fault === 'mixed-weights' && number === lastNumber ? version + 1 : version
      const padding = work.paddingBytes === undefined ? '' : `: ${'.'.repeat(work.paddingBytes)}\n`
      const text = padding + writeEvent({ requestId, number, of: work.events, version: reportedVersion, software: this.#softwareOf(work, number) })
      response.write(work.fault === 'event-doubled' && number === 2 ? text + text : text)
    }
    response.end()
  }
}

function writeEvent (event: StreamEvent): string {
  return `id: ${event.number}\ndata: ${JSON.stringify(event)}\n\n`
}

function headerOf (request: IncomingMessage, name: string): string {
  return String(request.headers[name] ?? '')
}

/** @returns the body; undefined if the sender disconnected before it was complete */
async function readBody (request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    // Nothing has run, and nobody is waiting for an answer.
    return undefined
  }
  return Buffer.concat(chunks).toString()
}
