/** Chooses the next endpoint for a request, and decides whether to send the request there. */
import type { EndpointChoice, NoEndpointReason, RequiredSoftware } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { MAX_CANDIDATES } from '@eelgrassmux/routing/waiting/waitingMessages'
import { admitRouted, type RoutedAdmission } from './admitRouted.js'
import type { ResponseTimes } from './ResponseTimes.js'
import { RESERVATION_TIMEOUT_MS } from './EngineReservations.js'
import { isHeldBack } from './PlacementWaits.js'
import type { PromptContext } from './PromptContext.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'
import { TriedEndpoints } from './TriedEndpoints.js'

/** Why no endpoint was chosen; `all-full` if some have no free place, have too many bytes in transit to them or are reserved for a request that goes first. */
export type PlacementFailure = NoEndpointReason | 'all-full'

/** A reservation at an engine. */
export interface TakenReservation {
  readonly id: string
  /** Releases the reservation because the request is not sent. */
  release (): void
}

/** Places one request. */
export class RequestPlacement {
  readonly tried = new TriedEndpoints()
  #requiredVersion: number | undefined
  #requiredSoftware: RequiredSoftware | undefined
  #chosenAt = Number.NEGATIVE_INFINITY

  /**
   * @param request - request to place
   * @param ports - dependencies
   * @param prompt - prompt of the request, if it has one
   * @param times - times of its response
   * @param deadline - deadline of the request, in monotonic milliseconds
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly ports: Pick<RoutedPorts, 'fleet' | 'stop' | 'durations' | 'waiting' | 'reservations' | 'streams'>,
    private readonly prompt: PromptContext | undefined,
    private readonly times: ResponseTimes,
    private readonly deadline: number
  ) {
    if (request.origin !== undefined) this.#requiredSoftware = { version: request.origin.software }
  }

  /** When the deadline passes or the caller is expected to disconnect unless another event arrives, in monotonic milliseconds. */
  get callerTimeoutAt (): number { return Math.min(this.deadline, this.times.callerTimeoutAt) }

  /** Whether the request can be finished before this host stops; true if the host is not stopping. */
  get canFinishBeforeStop (): boolean {
    const { route, fields } = this.request
    return this.ports.stop.admits({
      remainingMs: this.deadline - performance.now(),
      expectedMs: this.ports.durations.expectedMs(route.name, fields.prompt?.outputTokens ?? 0)
    })
  }

  /** @param choice - endpoint at which the response has begun; only endpoints with the same weights and software can go on with it */
  requireSameAs ({ version, endpoint }: EndpointChoice): void {
    this.#requiredVersion = version
    this.#requiredSoftware = { version: endpoint.listed.software }
  }

  /**
   * @param choice - endpoint to which the request was sent, possibly before the response began elsewhere
   * @returns whether its response can go on with what the caller has
   */
  canContinueAt ({ version, endpoint }: EndpointChoice): boolean {
    if (this.#requiredVersion !== undefined && version !== this.#requiredVersion) return false
    return this.#requiredSoftware === undefined || endpoint.listed.software === this.#requiredSoftware.version
  }

  /** Urgency of the request: the priority of its customer, or else of its route. */
  get urgency (): number { return this.request.customer?.priority ?? this.request.route.priority }

  /** Until when the request may wait, in monotonic milliseconds: while its caller does, and a stream while it can still end before its deadline. */
  get patienceUntil (): number {
    const { route, fields } = this.request
    if (route.kind !== 'stream') return this.deadline
    // A stream that begins later than this is cut off by its deadline, and its work is lost.
    const lastStart = this.deadline - this.ports.durations.expectedRestMs(route.name, fields.prompt?.outputTokens ?? 0)
    return Math.min(this.callerTimeoutAt, lastStart)
  }

  /** @returns the endpoint to send the request to, or why there is none */
  choose (): EndpointChoice | PlacementFailure {
    const unavailable = this.#unavailable()
    const choice = this.#chooseExcept(unavailable)
    return typeof choice === 'string' && unavailable.some(id => !this.tried.ids.has(id)) ? 'all-full' : choice
  }

  /**
   * @param incarnation - endpoint at which capacity was granted to the request
   * @returns the choice of that endpoint, or why it can't take the request
   */
  chooseGranted (incarnation: string): EndpointChoice | NoEndpointReason {
    const others = this.ports.fleet.endpointsOf(this.request.service.name).filter(endpoint => endpoint.incarnation !== incarnation)
    return this.#chooseExcept([...others.map(({ id }) => id), ...this.#beyondTransitBound])
  }

  /**
   * Takes a reservation for the request.
   *
   * @param incarnation - engine at which capacity was granted to the request
   * @returns the reservation, or undefined if it was refused; undefined at once if the engines of the service grant none
   */
  reserve (incarnation: string): Promise<TakenReservation | undefined> | undefined {
    const { reservations } = this.ports
    const leaseMs = this.request.service.engine?.reservationMs
    const choice = this.chooseGranted(incarnation)
    if (reservations === undefined || leaseMs === undefined || typeof choice === 'string') return undefined
    const { endpoint: { listed }, tokensHeld } = choice
    return reservations.take(listed, { tokens: tokensHeld, leaseMs }, RESERVATION_TIMEOUT_MS).then(id => {
      this.ports.waiting?.countReservation(id !== undefined)
      return id === undefined ? undefined : { id, release: () => { reservations.release(listed, id) } }
    })
  }

  /** Why no endpoint can take the request even if capacity is free. */
  get failureWithoutQueue (): NoEndpointReason {
    const choice = this.#chooseExcept([])
    return typeof choice === 'string' ? choice : 'all-held-back'
  }

  /** @returns the endpoints that the request may wait for, the best first */
  queueCandidates (): readonly EndpointChoice[] {
    const choices: EndpointChoice[] = []
    while (choices.length < MAX_CANDIDATES) {
      const choice = this.#chooseExcept(choices.map(({ endpoint }) => endpoint.id))
      if (typeof choice === 'string') break
      choices.push(choice)
    }
    return choices
  }

  /**
   * @param candidates - result of {@link RequestPlacement.queueCandidates}
   * @returns their incarnations; none if a call may use all endpoints of its service, so that the leader chooses the emptiest
   */
  statedCandidates (candidates: readonly EndpointChoice[]): readonly string[] {
    const isPlain = candidates.every(({ version }) => version === undefined)
    const usable = this.ports.fleet.endpointsOf(this.request.service.name).filter(({ isLeaving }) => !isLeaving)
    return isPlain && candidates.length === usable.length ? [] : candidates.map(({ endpoint }) => endpoint.incarnation)
  }

  /** @param choice - endpoint that was chosen */
  admit (choice: EndpointChoice): RoutedAdmission {
    const hasQueue = this.#queue !== undefined
    return admitRouted(this.request, choice, this.ports.fleet, { prompt: this.prompt, hasFirstEvent: this.times.hasFirstEvent, deadline: this.deadline, hasQueue }, performance.now())
  }

  /**
   * @param reason - why no endpoint was chosen last
   * @returns earliest time at which an endpoint may be available, in monotonic milliseconds, which may be over by now; infinity if it is not known
   */
  releasedAt (reason: PlacementFailure): number {
    // An endpoint that was held back then may be released by now.
    return reason !== 'all-full' && isHeldBack(reason) ? this.ports.fleet.firstReleaseAt(this.request.service.name, this.tried.ids, this.#chosenAt) : Number.POSITIVE_INFINITY
  }

  get #queue (): RoutedPorts['waiting'] {
    return this.ports.waiting?.isEnabled === true ? this.ports.waiting : undefined
  }

  /** Returns ids of endpoints that get none of the request's kind for now: plain ones without a free place, engines that are reserved, and those to which too many bytes are in transit. */
  #unavailable (): readonly string[] {
    if (this.times.hasFirstEvent) return []
    return [...this.#withoutPlace(), ...this.#beyondTransitBound]
  }

  /** Whether too many bytes are in transit to some endpoint for this request. */
  get isTransitBounded (): boolean { return this.#beyondTransitBound.length > 0 }

  get #beyondTransitBound (): readonly string[] {
    const { service, body } = this.request
    return body === undefined ? [] : this.ports.fleet.endpointsBeyondTransitBound(service.name, body.length)
  }

  #withoutPlace (): readonly string[] {
    if (this.#queue === undefined) return []
    const { fleet } = this.ports
    const service = this.request.service.name
    if (this.request.service.engine === undefined) return fleet.fullEndpoints(service)
    const reserved = new Set(this.#queue.reservedFor(this.urgency))
    return reserved.size === 0 ? [] : fleet.endpointsOf(service).filter(({ incarnation }) => reserved.has(incarnation)).map(({ id }) => id)
  }

  #chooseExcept (ids: readonly string[]): EndpointChoice | NoEndpointReason {
    const { service, regionBound, route, body } = this.request
    const traffic = this.ports.fleet.traffic.ofRequest(route.name, body?.length ?? 0)
    const excluded = ids.length === 0 ? this.tried.ids : new Set([...this.tried.ids, ...ids])
    const mustGoOn = this.#requiredSoftware !== undefined
    this.#chosenAt = performance.now()
    const avoidedSoftware = route.isResumable && !mustGoOn ? this.ports.streams?.newVersionsOf(service.name) : undefined
    return this.ports.fleet.choose(service.name, { excluded, regionBound, traffic, requiredSoftware: this.#requiredSoftware, avoidedSoftware, ...this.prompt?.requirements(this.#requiredVersion) })
  }
}
