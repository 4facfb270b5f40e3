/** Keeps the requests that wait at this host in the order of all hosts, by asking the leading control host which of them may be sent. */
import type { LoadFeatures } from '@eelgrassmux/routing/features/LoadFeatures'
import type { PlainRejection, WaitingAnswer } from '@eelgrassmux/routing/waiting/waitingMessages'
import { WaitingRequests, type JoiningRequest, type JoinOptions, type WaitingStep } from '@eelgrassmux/routing/waiting/WaitingRequests'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { exchangeWaiting } from '@eelgrassmux/rpc/methods/waitingMethods'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Most requests that find no capacity in one round of retries without the leader; it bounds the cost of a round. */
const MAX_FAILED_RETRIES = 16

/** A grant that has just arrived. */
export type UsableGrant = Extract<WaitingStep, { kind: 'send' }>

/** Callbacks to the task of a request that waits. */
export interface WaitingListener {
  /**
   * Capacity was granted, and the request no longer waits. The task has to call {@link WaitingExchange.settle}.
   *
   * @param grant - ticket of the request, incarnation of the endpoint, and whether it was reserved for the request
   */
  granted (grant: UsableGrant): void
  /**
   * The request is to be placed without the leader.
   *
   * @returns whether it still waits
   */
  retry (): boolean
  /** @returns incarnations of the endpoints that may take the request, the best first; empty if any may */
  candidates (): readonly string[]
  /**
   * The request can't be served within its caller's patience, and no longer waits.
   *
   * @param retryAfterMs - milliseconds after which it could be served
   */
  refused (retryAfterMs: number): void
  /** The caller's patience no longer suffices, and the request no longer waits. */
  expired (): void
}

/** Dependencies of the exchange. */
export interface WaitingExchangePorts {
  readonly datagrams: Pick<DatagramClient, 'ask'>
  readonly features: LoadFeatures
  /** Returns the address of the leading control host, if known. */
  leader (): string | undefined
  /** Calls `place` once the load of the other hosts is known recently enough, or at once if it can't be known. */
  withRecentLoad (place: () => void): void
}

/** Queue of the requests that wait at this host. It keeps one question open at a time and uses one timer. */
export class WaitingExchange {
  readonly #requests: WaitingRequests
  readonly #listeners = new Map<number, WaitingListener>()
  readonly #decisions: LabelledCounter
  #timer: NodeJS.Timeout | undefined
  #timerAt = Number.POSITIVE_INFINITY
  #wasAlone = false
  #isStopped = false

  /**
   * @param host - unique name of this host
   * @param ports - dependencies
   * @param telemetry - log and metrics
   */
  constructor (host: string, private readonly ports: WaitingExchangePorts, private readonly telemetry: Telemetry) {
    this.#requests = new WaitingRequests(host)
    this.#decisions = telemetry.labelledCounter('waiting_decisions_total', 'Decisions about requests that wait in the order of all hosts', 'decision')
    telemetry.gauge('requests_waiting_in_order', 'Requests that wait in the order of all hosts', () => this.#requests.size)
    telemetry.gauge('waiting_body_bytes', 'Bytes of the bodies of requests that wait in the order of all hosts', () => this.#requests.bodyBytes)
    telemetry.gauge('waiting_without_leader', '1 while waiting requests are placed without the leader', () => this.#requests.isAlone ? 1 : 0)
  }

  /** Whether requests wait in the order of all hosts. */
  get isEnabled (): boolean { return this.ports.features.isEnabled('waiting-order') }

  /** Number of requests that wait. */
  get size (): number { return this.#requests.size }

  /**
   * Adds a request to the queue.
   *
   * @param request - request that waits
   * @param listener - callbacks to its task
   * @param options - earliest time of a grant, and the ticket of an earlier wait
   * @returns its ticket; undefined if the queue is full
   */
  join (request: JoiningRequest, listener: WaitingListener, options?: JoinOptions): number | undefined {
    const ticket = this.#requests.join(request, options)
    this.#decisions.count(ticket === undefined ? 'queue-full' : 'joined')
    if (ticket === undefined) return undefined
    this.#listeners.set(ticket, listener)
    this.#ask()
    this.#schedule()
    return ticket
  }

  /** @param ticket - request that no longer waits, because it was sent without a grant or its caller has left */
  leave (ticket: number): void {
    if (!this.#listeners.delete(ticket)) return
    this.#requests.leave(ticket)
    this.#schedule()
  }

  /**
   * Records what became of a grant.
   *
   * @param ticket - ticket of the request
   * @param wasSent - whether the request was sent; otherwise the capacity is returned
   */
  settle (ticket: number, wasSent: boolean): void {
    this.#decisions.count(wasSent ? 'granted' : 'grant-returned')
    this.#requests.settle(ticket, wasSent)
    this.#schedule()
  }

  /**
   * @param ticket - ticket of a request with a grant
   * @returns whether the grant may still be used
   */
  isGranted (ticket: number): boolean {
    return this.#requests.isGranted(ticket, performance.now())
  }

  /** @param wasTaken - whether an engine granted a reservation that was asked of it */
  countReservation (wasTaken: boolean): void {
    this.#decisions.count(wasTaken ? 'reservation-taken' : 'reservation-refused')
  }

  /** @param rejection - rejection of a call by a full endpoint */
  recordRejection (rejection: PlainRejection): void {
    this.#requests.recordRejection(rejection)
  }

  /**
   * @param service - name of a service
   * @returns whether requests for the service have to join the queue, because others wait
   */
  isContended (service: string): boolean {
    return this.#requests.isContended(service, performance.now())
  }

  /**
   * @param urgency - urgency of a request
   * @returns incarnations of engines that are reserved for a request that goes before it
   */
  reservedFor (urgency: number): readonly string[] {
    return this.#requests.reservedFor(urgency, performance.now())
  }

  /** Must be called when another control host leads. */
  leaderChanged (): void {
    this.#requests.leaderChanged()
    this.#ask()
    this.#schedule()
  }

  /** Stops the exchange; requests that still wait get no further callbacks. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
    this.#listeners.clear()
  }

  #ask (): void {
    const question = this.#requests.takeQuestion(performance.now())
    if (question === undefined) return
    const leader = this.ports.leader()
    if (leader === undefined) this.#requests.recordNoLeader(performance.now())
    else this.ports.datagrams.ask(leader, exchangeWaiting, question, answer => { this.#onAnswer(answer) })
    this.#logLeader()
  }

  #onAnswer (answer: WaitingAnswer): void {
    if (this.#isStopped) return
    for (const step of this.#requests.applyAnswer(answer, performance.now())) this.#apply(step)
    this.#logLeader()
    this.#refreshCandidates()
    this.#ask()
    this.#schedule()
  }

  /** Chooses the candidates of one request again; one for each answer bounds the cost. */
  #refreshCandidates (): void {
    const now = performance.now()
    const ticket = this.#requests.findOutdated(now)
    const listener = ticket === undefined ? undefined : this.#listeners.get(ticket)
    if (ticket !== undefined && listener !== undefined) this.#requests.replaceCandidates(ticket, listener.candidates(), now)
  }

  #onTimer (): void {
    const now = performance.now()
    for (const step of this.#requests.advance(now)) this.#apply(step)
    const retries = this.#requests.takeRetries(now)
    if (retries.length > 0) this.ports.withRecentLoad(() => { this.#retry(retries) })
    this.#logLeader()
    this.#ask()
    this.#schedule()
  }

  #apply (step: WaitingStep): void {
    const listener = this.#listeners.get(step.ticket)
    this.#listeners.delete(step.ticket)
    if (step.kind === 'send') {
      if (listener === undefined) this.settle(step.ticket, false)
      else listener.granted(step)
      return
    }
    this.#decisions.count(step.kind === 'refuse' ? 'refused' : 'expired')
    if (step.kind === 'refuse') listener?.refused(step.retryAfterMs)
    else listener?.expired()
  }

  #retry (tickets: readonly number[]): void {
    let failed = 0
    for (const ticket of tickets) {
      if (failed >= MAX_FAILED_RETRIES) return
      const listener = this.#listeners.get(ticket)
      if (listener === undefined) continue
      if (listener.retry()) failed += 1
      else this.#decisions.count('placed-without-leader')
    }
  }

  #logLeader (): void {
    const { isAlone, size } = this.#requests
    if (isAlone === this.#wasAlone) return
    this.#wasAlone = isAlone
    this.telemetry.logStateChange(isAlone ? 'waiting-without-leader' : 'waiting-with-leader', { waiting: size })
  }

  /** Keeps one timer, which is moved only if it would fire too late; a timer that fires too early reschedules itself. */
  #schedule (): void {
    if (this.#isStopped) return
    const now = performance.now()
    const dueAt = this.#requests.nextDueAt(now)
    if (dueAt === Number.POSITIVE_INFINITY || this.#timerAt <= dueAt) return
    clearTimeout(this.#timer)
    this.#timerAt = dueAt
    this.#timer = setTimeout(() => {
      this.#timerAt = Number.POSITIVE_INFINITY
      this.#onTimer()
    }, Math.max(0, Math.ceil(dueAt - now)))
  }
}
