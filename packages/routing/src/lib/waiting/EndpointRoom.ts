/** Room of one endpoint for waiting requests, as the leader knows it. */
import { ADMISSION_LIMITS } from '../admission/admitStream.js'
import { countPlaces } from './endpointPlaces.js'
import type { WaitingRequest } from './waitingMessages.js'

/** Time for which an occupancy at which an endpoint rejected a call limits its places, in milliseconds. */
const REJECTION_LIFETIME_MS = 10_000

/** Value that is less than the tokens of any request. */
const NO_ROOM = -1

/** An endpoint to which waiting requests may be sent. */
export interface OrderedEndpoint {
  readonly incarnation: string
  readonly service: string
  /** Requests that it works on at once; 0 if unknown. */
  readonly slots: number
  /** Tokens of its memory, 0 if unknown; undefined for endpoints of plain services. */
  readonly memoryTokens: number | undefined
  /** Shortest latency objective of the routes to its service, in milliseconds. */
  readonly objectiveMs: number
}

/** What hosts have reported as sent to an endpoint. */
export interface EndpointUse {
  readonly inFlight: number
  readonly heldTokens: number
  readonly pendingTokens: number
}

type RequestSize = Pick<WaitingRequest, 'tokens' | 'prefillTokens'>

/** Load of an endpoint, including outstanding grants, and its limits. */
export class EndpointRoom {
  /** Undefined while no request may be sent there: the endpoint is unknown, leaving or unresponsive. */
  endpoint: OrderedEndpoint | undefined
  /** Mean duration of an answer of its service, in milliseconds; undefined if unknown. */
  workMs: number | undefined
  /** Entry for which the room is gathered; undefined if it is not reserved. */
  reservedFor: { readonly request: RequestSize } | undefined
  #inFlight = 0
  #heldTokens = 0
  #pendingTokens = 0
  #granted = 0
  #grantedTokens = 0
  #grantedPrefill = 0
  #rejection: { readonly occupancy: number, readonly until: number } | undefined

  /** @param incarnation - name of the incarnation */
  constructor (readonly incarnation: string) {}

  /** Whether hosts have anything at the endpoint, or are about to. */
  get isIdle (): boolean { return this.#inFlight === 0 && this.#heldTokens === 0 && this.#granted === 0 }

  /** Load that outstanding grants add to the reports of the hosts. */
  get granted (): EndpointUse { return { inFlight: this.#granted, heldTokens: this.#grantedTokens, pendingTokens: this.#grantedPrefill } }

  /** Tokens that are free for waiting requests, below zero beyond the limit. */
  get freeTokens (): number {
    const memory = this.endpoint?.memoryTokens ?? 0
    if (memory === 0) return Number.POSITIVE_INFINITY
    return memory * ADMISSION_LIMITS.memoryShare - this.#heldTokens - this.#grantedTokens
  }

  /**
   * @param use - change of the load that hosts report
   * @param factor - 1 to add it, -1 to subtract it
   */
  addUse (use: EndpointUse, factor: 1 | -1): void {
    this.#inFlight += factor * use.inFlight
    this.#heldTokens += factor * use.heldTokens
    this.#pendingTokens += factor * use.pendingTokens
  }

  /**
   * @param request - request that is granted, or whose grant no longer counts
   * @param factor - 1 to add it, -1 to subtract it
   */
  addGrant ({ tokens, prefillTokens = tokens }: RequestSize, factor: 1 | -1): void {
    this.#granted += factor
    this.#grantedTokens += factor * tokens
    this.#grantedPrefill += factor * prefillTokens
  }

  /**
   * Records that the endpoint rejected a call.
   *
   * @param occupancy - calls that were there
   * @param now - monotonic milliseconds
   */
  observeRejection (occupancy: number, now: number): void {
    this.#rejection = { occupancy, until: now + REJECTION_LIFETIME_MS }
  }

  /**
   * @param now - monotonic milliseconds
   * @returns tokens of the largest request for which there is room now, without regard to reservations; below 0 if there is none for any request
   */
  largestFit (now: number): number {
    if (this.endpoint === undefined) return NO_ROOM
    const { slots, memoryTokens } = this.endpoint
    const requests = this.#inFlight + this.#granted
    if (memoryTokens === undefined) return requests < this.#places(this.endpoint, now) ? Number.POSITIVE_INFINITY : NO_ROOM
    // A request that is alone on an engine will never find more room than it has.
    if (requests === 0) return Number.POSITIVE_INFINITY
    const isFull = slots > 0 && requests >= slots
    return isFull || this.#excessBacklog > 0 ? NO_ROOM : this.freeTokens
  }

  /**
   * @param request - a waiting request
   * @returns tokens that the engine has to free or prefill before the request fits; 0 or less if it fits
   */
  deficit ({ tokens }: RequestSize): number {
    return Math.max(tokens - this.freeTokens, this.#excessBacklog)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns requests at the endpoint as a share of those that it may have
   */
  fullness (now: number): number {
    if (this.endpoint === undefined) return Number.POSITIVE_INFINITY
    const { slots, memoryTokens } = this.endpoint
    const requests = this.#inFlight + this.#granted
    if (memoryTokens === undefined) return requests / this.#places(this.endpoint, now)
    return memoryTokens > 0 ? (this.#heldTokens + this.#grantedTokens) / memoryTokens : requests / Math.max(1, slots)
  }

  /** Tokens to be prefilled beyond those that may be ahead of a long request. */
  get #excessBacklog (): number { return this.#pendingTokens + this.#grantedPrefill - ADMISSION_LIMITS.tokensAhead }

  #places ({ slots, objectiveMs }: OrderedEndpoint, now: number): number {
    const rejectedAt = this.#rejection !== undefined && now < this.#rejection.until ? this.#rejection.occupancy : undefined
    return countPlaces({ slots, workMs: this.workMs, objectiveMs, rejectedAt })
  }
}
