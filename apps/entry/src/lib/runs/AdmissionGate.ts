/** Awaits the admission queue's decisions on behalf of callers. */
import { AdmissionQueue, type AdmissionDecision, type AdmissionOutcome, type AdmissionRequest } from '@eelgrassmux/policy/limits/AdmissionQueue'

/** Final decision on a request. */
export type GateDecision = Exclude<AdmissionDecision, { kind: 'queued' }>

const EXPIRY_CHECK_INTERVAL_MS = 20

/** Owns the admission queue of one host. */
export class AdmissionGate {
  readonly #queue: AdmissionQueue
  readonly #waiting = new Map<string, (decision: GateDecision) => void>()
  readonly #timer: NodeJS.Timeout

  /**
   * @param capacityTokens - initial limit of tokens in flight
   * @param queueLimit - maximum number of waiting requests
   */
  constructor (capacityTokens: number, queueLimit: number) {
    this.#queue = new AdmissionQueue(capacityTokens, queueLimit)
    this.#timer = setInterval(() => { this.#resolveWaiting(this.#queue.expire(performance.now())) }, EXPIRY_CHECK_INTERVAL_MS)
  }

  get tokensInFlight (): number { return this.#queue.tokensInFlight }
  get queued (): number { return this.#queue.queued }

  /**
   * @param request - request to admit, with its customer and tokens
   * @param disconnected - aborted when the caller disconnects, which removes the request from the queue
   * @returns the decision, once the queue has made it
   */
  async request (request: AdmissionRequest, disconnected: AbortSignal): Promise<GateDecision> {
    const decision = this.#queue.request(request, performance.now())
    if (decision.kind !== 'queued') return decision
    return await new Promise(resolve => {
      this.#waiting.set(request.id, resolve)
      disconnected.addEventListener('abort', () => {
        if (!this.#waiting.has(request.id)) return
        this.release(request.id)
        resolve({ kind: 'refused', reason: 'deadline-unreachable', retryAfterMs: 0 })
      }, { once: true })
    })
  }

  /** @param id - id of a request that ended or was abandoned */
  release (id: string): void {
    this.#waiting.delete(id)
    this.#resolveWaiting(this.#queue.release(id, performance.now()))
  }

  /** @param tokens - new capacity of this host, in tokens */
  setCapacity (tokens: number): void {
    this.#resolveWaiting(this.#queue.setCapacity(tokens, performance.now()))
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  #resolveWaiting (outcomes: readonly AdmissionOutcome[]): void {
    for (const { id, decision } of outcomes) {
      this.#waiting.get(id)?.(decision)
      this.#waiting.delete(id)
    }
  }
}
