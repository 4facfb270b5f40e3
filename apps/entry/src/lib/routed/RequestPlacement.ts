/** Which endpoint one request goes to next, and whether it is sent there. */
import type { EndpointChoice, NoEndpointReason } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { admitRouted, type RoutedAdmission } from './admitRouted.js'
import type { AnswerTimes } from './AnswerTimes.js'
import { isHeldBack } from './PlacementWaits.js'
import type { PromptContext } from './PromptContext.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'
import { TriedEndpoints } from './TriedEndpoints.js'

/** Placement of one request. */
export class RequestPlacement {
  readonly tried = new TriedEndpoints()
  #requiredVersion: number | undefined

  /**
   * @param request - to place
   * @param ports - its endpoints, and the stop of this host
   * @param prompt - of the request, if it has one
   * @param times - how far its answer is
   * @param deadline - monotonic milliseconds at which its time is over
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly ports: Pick<RoutedPorts, 'fleet' | 'stop' | 'durations'>,
    private readonly prompt: PromptContext | undefined,
    private readonly times: AnswerTimes,
    private readonly deadline: number
  ) {}

  /** Monotonic milliseconds at which its time is over, or its caller leaves if nothing more comes. */
  get patienceEnds (): number { return Math.min(this.deadline, this.times.patienceEnds) }

  /** Whether it can be answered before this host stops, if it does. */
  get canEndBeforeStop (): boolean {
    const { route, fields } = this.request
    return this.ports.stop.admits({
      remainingMs: this.deadline - performance.now(),
      expectedMs: this.ports.durations.expectedMs(route.name, fields.prompt?.outputTokens ?? 0)
    })
  }

  /** @param version - of the weights under which its answer has begun */
  requireVersion (version: number | undefined): void {
    this.#requiredVersion = version
  }

  /** @returns the endpoint to send it to, or why there is none */
  choose (): EndpointChoice | NoEndpointReason {
    const { service, regionBound } = this.request
    return this.ports.fleet.choose(service.name, { excluded: this.tried.ids, regionBound, ...this.prompt?.ask(this.#requiredVersion) })
  }

  /** @param choice - the endpoint chosen for it */
  admit (choice: EndpointChoice): RoutedAdmission {
    return admitRouted(this.request, choice, this.ports.fleet, { prompt: this.prompt, hasFirstEvent: this.times.hasFirstEvent, deadline: this.deadline }, performance.now())
  }

  /**
   * @param reason - why no endpoint was chosen
   * @returns monotonic milliseconds before which none is to be had; infinity if that is not known
   */
  releasedAt (reason: NoEndpointReason): number {
    return isHeldBack(reason) ? this.ports.fleet.firstRelease(this.request.service.name, this.tried.ids) : Number.POSITIVE_INFINITY
  }
}
