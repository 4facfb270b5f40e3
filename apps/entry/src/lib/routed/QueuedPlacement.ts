/** The place of one request in the queue of all hosts. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { RetryTokenWait } from '../retries/RetryTokens.js'
import type { WaitingListener } from '../waiting/WaitingExchange.js'
import type { RequestPlacement } from './RequestPlacement.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/**
 * Delay before a request may be granted capacity after a rejection, or after the retry budget was found used up, in
 * milliseconds. The leader learns of a rejection a few milliseconds later, and each send counts against the budget.
 */
const RESEND_DELAY_MS = 40

/** Duration that is assumed for a plain answer before one was seen, in milliseconds. */
const INITIAL_PLAIN_MS = 20

/** Result of an attempt to wait. */
export type QueueOutcome =
  | 'waits'
  /** No endpoint can take the request at all. */
  | 'no-candidates'
  /** Too many requests wait at this host. */
  | 'full'

/** Joins and leaves the queue on behalf of one request. */
export class QueuedPlacement {
  #ticket: number | undefined
  #lastTicket: number | undefined
  #needsBudget = false
  #hasLogged = false
  #notBefore = Number.NEGATIVE_INFINITY
  #deniedSince: number | undefined
  #tokenWait: RetryTokenWait | undefined

  /**
   * @param request - request that may wait
   * @param ports - queue, retry budget and endpoints
   * @param placement - chooses endpoints for the request
   * @param listener - callbacks to the task of the request
   * @param log - logs that the request joined the queue
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly ports: Pick<RoutedPorts, 'waiting' | 'allowance' | 'retries'>,
    private readonly placement: RequestPlacement,
    private readonly listener: Omit<WaitingListener, 'retry' | 'candidates'> & { retry (): void },
    private readonly log: (details: DecisionFields<'waits-in-order'>) => void
  ) {}

  /** Whether requests wait in the order of all hosts. */
  get isEnabled (): boolean { return this.ports.waiting?.isEnabled === true }

  /** Whether the request waits. */
  get isWaiting (): boolean { return this.#ticket !== undefined }

  /** Joins the queue, unless the request waits there already. */
  wait (): QueueOutcome {
    if (this.isWaiting) return 'waits'
    const candidates = this.placement.queueCandidates()
    const best = candidates[0]
    if (best === undefined) return 'no-candidates'
    const { route, service, customer, arrivedAt, body } = this.request
    const kind = best.version === undefined ? 'plain' : 'engine'
    this.#ticket = this.ports.waiting?.join({
      kind,
      service: service.name,
      customer: customer?.name ?? '',
      urgency: this.placement.urgency,
      tokens: Math.round(best.tokensHeld),
      prefillTokens: Math.round(best.prefill.tokensToRead),
      candidates: this.placement.statedCandidates(candidates),
      arrivedAt,
      objectiveMs: route.targetLatencyMs,
      patienceUntil: this.placement.patienceUntil,
      workMs: workMsOf(best),
      bodyBytes: body?.length ?? 0
    }, {
      granted: grant => {
        this.#ticket = undefined
        this.listener.granted(grant)
      },
      candidates: () => this.placement.statedCandidates(this.placement.queueCandidates()),
      retry: () => {
        this.listener.retry()
        return this.isWaiting
      },
      refused: retryAfterMs => {
        this.#ticket = undefined
        this.listener.refused(retryAfterMs)
      },
      expired: () => {
        this.#ticket = undefined
        this.listener.expired()
      }
    }, { notBefore: this.#notBefore, ...(this.#lastTicket === undefined ? {} : { ticket: this.#lastTicket }) })
    this.#lastTicket = this.#ticket
    if (this.#ticket === undefined) return 'full'
    if (!this.#hasLogged) this.log({ kind, urgency: this.placement.urgency, tokens: Math.round(best.tokensHeld), candidates: candidates.length, waiting: this.ports.waiting?.size ?? 0 })
    this.#hasLogged = true
    return 'waits'
  }

  /** Leaves the queue if the request waits there. */
  leave (): void {
    if (this.#ticket !== undefined) this.ports.waiting?.leave(this.#ticket)
    this.#ticket = undefined
    this.#tokenWait?.cancel()
    this.#tokenWait = undefined
  }

  /** Notes that an endpoint has rejected the request, so that the next send counts against the retry budget. */
  requireBudget (): void {
    this.#needsBudget = true
    this.#notBefore = performance.now() + RESEND_DELAY_MS
    if (this.ports.allowance.isUsedUp('other')) this.#requestToken()
  }

  /** Delays the next grant, because the request can't use one at the moment. */
  postpone (): void {
    this.#notBefore = Math.max(this.#notBefore, performance.now() + RESEND_DELAY_MS)
  }

  /** @returns whether the request may be sent now, as far as the retry budget is concerned */
  takeBudget (): boolean {
    if (!this.#needsBudget) return true
    if (this.#trySpend()) return true
    this.#deniedSince ??= performance.now()
    this.#notBefore = performance.now() + RESEND_DELAY_MS
    this.#requestToken()
    return false
  }

  /**
   * Whether the request has waited for the retry budget for its latency objective. It is refused then, as not run: its
   * caller may send it again at once, while the budget may be used up for as long as endpoints reject requests.
   */
  get isBudgetExhausted (): boolean {
    return this.#needsBudget && this.#deniedSince !== undefined && performance.now() - this.#deniedSince >= this.request.route.targetLatencyMs
  }

  #trySpend (): boolean {
    if (!this.ports.allowance.trySpend('other')) return false
    this.#needsBudget = false
    this.#deniedSince = undefined
    this.ports.retries.count('rejected')
    return true
  }

  /** Asks the hosts' shared budget for a token while the request waits; the token is kept for its next send. */
  #requestToken (): void {
    this.#tokenWait ??= this.ports.allowance.request('other', () => {
      this.#tokenWait = undefined
      if (this.#needsBudget) this.#trySpend()
    })
  }
}

/** Returns the milliseconds that the answer or the first event takes without other work at the endpoint. */
function workMsOf ({ version, endpoint, workMs, waitMs }: EndpointChoice): number {
  return version === undefined ? endpoint.workMs ?? INITIAL_PLAIN_MS : Math.max(0, workMs - waitMs)
}
