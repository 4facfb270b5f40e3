/** Lets callers wait for the admission queue's decision. */
import { AdmissionQueue, type AdmissionDecision, type AdmissionOutcome, type AdmissionRequest } from '@eelgrassmux/policy/limits/AdmissionQueue'

/** What became of a request. */
export type GateDecision = Exclude<AdmissionDecision, { kind: 'queued' }>

/** Interval between looks for requests that waited too long, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 20

/** Owns one host's admission queue. */
export class AdmissionGate {
  readonly #queue: AdmissionQueue
  readonly #waiting = new Map<string, (decision: GateDecision) => void>()
  readonly #timer: NodeJS.Timeout

  /**
   * @param capacityTokens - tokens in flight at first
   * @param queueLimit - most requests that wait
   */
  constructor (capacityTokens: number, queueLimit: number) {
    this.#queue = new AdmissionQueue(capacityTokens, queueLimit)
    this.#timer = setInterval(() => { this.#resolveWaiting(this.#queue.expire(performance.now())) }, EXPIRY_CHECK_INTERVAL_MS)
  }

  get tokensInFlight (): number { return this.#queue.tokensInFlight }
  get queued (): number { return this.#queue.queued }

  /**
   * @param request - who and how much
   * @param disconnected - aborted when the caller has left; it then gives up its place in the queue
   * @returns the decision, at once or when the queue has made it
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

  /** @param id - request that ended or was given up */
  release (id: string): void {
    this.#waiting.delete(id)
    this.#resolveWaiting(this.#queue.release(id, performance.now()))
  }

  /** @param tokens - new capacity of this host */
  setCapacity (tokens: number): void {
    this.#resolveWaiting(this.#queue.setCapacity(tokens, performance.now()))
  }

  /** Stops the timer. */
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
