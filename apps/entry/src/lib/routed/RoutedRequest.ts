/** A routed request and its dependencies. */
import type { RegionBound } from '@eelgrassmux/routing/places/RegionBound'
import type { RouteDurations } from '@eelgrassmux/routing/admission/RouteDurations'
import type { StreamOrigin } from '@eelgrassmux/routing/streams/streamOrigin'
import type { ReplicatedService, Route, SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { RequestFaults } from '../faults/RequestFaults.js'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.js'
import type { RetryTokens } from '../retries/RetryTokens.js'
import type { RelayHosts } from '../relays/RelayHosts.js'
import type { StreamDirectory } from '../streams/StreamDirectory.js'
import type { WaitingExchange } from '../waiting/WaitingExchange.js'
import type { EngineReservations } from './EngineReservations.js'
import type { PromptPorts } from './PromptPorts.js'
import type { CallerFields, RequestCodec } from './RequestCodec.js'
import type { ResponseMemory } from './ResponseMemory.js'
import type { SharedInterval } from './SharedInterval.js'
import type { SlowReaders } from './SlowReaders.js'

/** A request that was read completely and assigned to a route. */
export interface RoutedRequest {
  readonly id: string
  readonly route: Route
  readonly service: ReplicatedService
  readonly customer: SiteCustomer | undefined
  /** Name of the group of customers that share cached parts, unless the customer is isolated. */
  readonly sharingGroup?: string
  /** Regions that the request has to stay in; undefined if there is no restriction. */
  readonly regionBound?: RegionBound | undefined
  readonly fields: CallerFields
  /** What began the stream that the caller takes up; undefined for other requests, and if the endpoints have no versions. */
  readonly origin?: StreamOrigin | undefined
  readonly body: Buffer | undefined
  /** Whether another host relays the request to this one, so that it must not be relayed again. */
  readonly isRelayed?: boolean
  /** When the request's head was read, in monotonic milliseconds. */
  readonly arrivedAt: number
  /** Version of the site configuration under which the request was admitted. */
  readonly siteVersion: number
}

/** Dependencies of a request. */
export interface RoutedPorts extends PromptPorts {
  readonly codec: RequestCodec
  readonly allowance: RetryTokens
  readonly retries: LabelledCounter
  readonly refusals: LabelledCounter
  /** How endpoints' responses ended, by what marks their end and whether they were complete. */
  readonly responseEnds: LabelledCounter
  /** Streams that were sent to go on after an event, by who resumed them. */
  readonly resumptions: LabelledCounter
  /** Origins of streams that may be resumed; undefined if they are not known. */
  readonly streams?: StreamDirectory | undefined
  readonly firstEvent: (milliseconds: number) => void
  readonly telemetry: Telemetry
  /** Exceptions in the handling of requests. */
  readonly faults: RequestFaults
  readonly stop: GracefulShutdown
  readonly durations: RouteDurations
  readonly quarantine: RequestQuarantine
  /** Timer for checks whether the endpoints of requests have stopped responding. */
  readonly silenceChecks: SharedInterval
  /** Bounds on what slow readers hold; absent if they are never counted. */
  readonly slowReaders?: SlowReaders | undefined
  /** Bounds on unfinished responses. */
  readonly responseMemory: ResponseMemory
  /** Other hosts, for requests to services that are out of this host's reach; undefined if they are not known. */
  readonly relays?: RelayHosts | undefined
  /** Whether the event loop of this process was blocked for a while, so that its sockets were not read. */
  isLagging (): boolean
  /** Queue of all hosts; undefined if this host has none. */
  readonly waiting: WaitingExchange | undefined
  /** Reservations at engines; undefined if the platform has none. */
  readonly reservations?: EngineReservations | undefined
  /** Calls `place` at once if the load of the other hosts is known recently enough, otherwise after requesting it. */
  withRecentLoad (place: () => void): void
}
