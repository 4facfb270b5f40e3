/** Dependencies of requests, which those to one service share. */
import { RouteDurations } from '@eelgrassmux/routing/admission/RouteDurations'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { RequestFaults } from '../faults/RequestFaults.js'
import { SwitchedRetryTokens } from '../retries/RetryTokens.js'
import { ResponseMemory, responseMemoryBounds } from './ResponseMemory.js'
import type { RoutedPorts } from './RoutedRequest.js'
import type { RoutedServerPorts } from './RoutedServer.js'
import { SharedInterval } from './SharedInterval.js'
import { SILENCE_CHECK_INTERVAL_MS } from './SilenceFailover.js'

const FIRST_EVENT_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 2, 5, 10]

/** Creates the dependencies of each service once. */
export class ServicePorts {
  readonly #created = new Map<string, RoutedPorts>()
  readonly #retries: LabelledCounter
  readonly #responseEnds: LabelledCounter
  readonly #resumptions: LabelledCounter
  readonly #observeFirstEvent: (milliseconds: number) => void
  readonly #durations = new RouteDurations()
  readonly #responseMemory: ResponseMemory
  readonly #silenceChecks = new SharedInterval(SILENCE_CHECK_INTERVAL_MS)

  /**
   * @param ports - dependencies of the server
   * @param refusals - refusals by reason
   * @param faults - exceptions in the handling of requests
   */
  constructor (private readonly ports: RoutedServerPorts, private readonly refusals: LabelledCounter, private readonly faults: RequestFaults) {
    const { telemetry } = ports
    this.#responseMemory = ports.responseMemory ?? new ResponseMemory(responseMemoryBounds(0), telemetry)
    this.#retries = telemetry.labelledCounter('routed_retries_total', 'Further attempts of routed requests by reason')
    this.#responseEnds = telemetry.labelledCounter('routed_response_ends_total', 'Ends of endpoints\' responses by what marks the end of the body and whether it was complete', 'end')
    this.#resumptions = telemetry.labelledCounter('streams_resumed_total', 'Streams that were sent to an endpoint to go on after an event, by who resumed them', 'by')
    this.#observeFirstEvent = telemetry.durationHistogram('routed_first_event_seconds', 'Time to the first event of a routed stream', FIRST_EVENT_BUCKETS_SECONDS)
  }

  /**
   * @param service - service name
   * @returns dependencies of the requests to it
   */
  of (service: string): RoutedPorts {
    const present = this.#created.get(service)
    if (present !== undefined) return present
    const { fleet, codec, telemetry, stop, quarantine, budget, sharedRetryTokens } = this.ports
    const ports: RoutedPorts = {
      fleet,
      codec,
      telemetry,
      faults: this.faults,
      stop,
      quarantine,
      allowance: new SwitchedRetryTokens(budget, sharedRetryTokens?.(service), () => fleet.features.isEnabled('shared-retry-budget')),
      durations: this.#durations,
      retries: this.#retries,
      refusals: this.refusals,
      responseEnds: this.#responseEnds,
      resumptions: this.#resumptions,
      firstEvent: this.#observeFirstEvent,
      silenceChecks: this.#silenceChecks,
      slowReaders: this.ports.slowReaders,
      responseMemory: this.#responseMemory,
      waiting: this.ports.waiting,
      streams: this.ports.streams,
      reservations: this.ports.reservations,
      relays: this.ports.relays?.hosts,
      isLagging: () => this.ports.isLagging(),
      desiredVersion: model => this.ports.desiredVersion(model),
      remainingMsForVersion: (model, version) => this.ports.remainingMsForVersion(model, version),
      areStoresUsable: now => this.ports.areStoresUsable(now),
      storeClockMs: now => this.ports.storeClockMs(now),
      withRecentLoad: place => { this.ports.withRecentLoad(place) }
    }
    this.#created.set(service, ports)
    return ports
  }
}
