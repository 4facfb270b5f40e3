/** A routed request and what it needs from around it. */
import type { RegionBound } from '@eelgrassmux/routing/places/RegionBound'
import type { RouteDurations } from '@eelgrassmux/routing/admission/RouteDurations'
import type { RetryAllowance } from '@eelgrassmux/routing/attempts/RetryAllowance'
import type { ReplicatedService, Route, SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.js'
import type { PromptPorts } from './PromptPorts.js'
import type { CallerFields, RequestCodec } from './RequestCodec.js'
import type { SharedLooks } from './SharedLooks.js'

/** A request that was read whole and belongs to a route. */
export interface RoutedRequest {
  readonly id: string
  readonly route: Route
  readonly service: ReplicatedService
  readonly customer: SiteCustomer | undefined
  /** Regions in which it has to stay; undefined if it may go anywhere. */
  readonly regionBound?: RegionBound | undefined
  readonly fields: CallerFields
  readonly body: Buffer | undefined
  /** Monotonic milliseconds when its head was read. */
  readonly arrivedAt: number
  /** Version of the site under which it was admitted. */
  readonly siteVersion: number
}

/** What a request needs from around it. */
export interface RoutedPorts extends PromptPorts {
  readonly codec: RequestCodec
  readonly allowance: RetryAllowance
  readonly retries: LabelledCounter
  readonly refusals: LabelledCounter
  readonly firstEvent: (milliseconds: number) => void
  readonly telemetry: Telemetry
  readonly stop: GracefulShutdown
  readonly durations: RouteDurations
  readonly quarantine: RequestQuarantine
  /** Looks at requests whose endpoints may fall silent. */
  readonly silenceLooks: SharedLooks
  /** Has a request placed on what is known of the others' work: at once, or after a moment in which they are asked. */
  beforePlacing (place: () => void): void
}
