/** Refuses requests that the site in force does not allow, unless this host may be behind. */
import type { RefusalReason } from '@eelgrassmux/schema/Refusal'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { ViewLagReport } from '@eelgrassmux/view/ViewLag'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { CallerExchange } from './CallerExchange.js'
import { LaggingViewQueue } from './LaggingViewQueue.js'
import type { CallerFields } from './RequestCodec.js'

/** Time since the last confirmation of the view after which the host may not know what has been acknowledged since, in milliseconds. */
const MAX_CONFIRMATION_AGE_MS = 2000

/** Refusal of a request that the site in force does not allow. */
export interface SiteRefusal {
  readonly reason: RefusalReason
  readonly status: number
  readonly detail: string
}

/** The refused request. */
export interface RefusedRequest {
  readonly exchange: CallerExchange
  readonly fields: CallerFields
  /** Monotonic milliseconds. */
  readonly arrivedAt: number
  readonly refusal: SiteRefusal
}

/** Continues a request. */
export interface SiteRefusalOutcomes {
  /** The site in force is the newest as far as this host knows. */
  refuse (refusal: SiteRefusal): void
  /** The newest site is not known here; another host may know it. */
  refuseAsStale (): void
  /** A newer site may allow the request. */
  routeAgain (): void
}

/** Dependencies of {@link SiteRefusals}. */
export interface SiteRefusalPorts {
  readonly stop: Pick<GracefulShutdown, 'isStopping'>
  readonly telemetry: Telemetry
  /** How far this host is behind; absent if it never is. */
  viewLag? (): ViewLagReport
}

/** Holds refused requests while a newer site is known to exist. */
export class SiteRefusals {
  readonly #queue = new LaggingViewQueue()

  /** @param ports - dependencies */
  constructor (private readonly ports: SiteRefusalPorts) {
    ports.telemetry.gauge('requests_waiting_for_view', 'Requests that the site in force does not allow and that wait for a newer view', () => this.#queue.length)
  }

  /** Releases requests if this host has caught up or is stopping. Call this when either may have changed. */
  releaseWaiting (): void {
    if (this.#queue.length > 0 && (this.ports.stop.isStopping || this.ports.viewLag?.().viewsBehind === 0)) this.#queue.release()
  }

  /**
   * Refuses a request for good if this host is up to date. Otherwise a newer site may allow it: a site that is
   * known to exist is waited for, and without one the caller is sent to another host.
   *
   * @param request - the refused request
   * @param outcomes - continues the request; one of them is called, unless the caller disconnects
   */
  refuse ({ exchange, fields, arrivedAt, refusal }: RefusedRequest, outcomes: SiteRefusalOutcomes): void {
    const lag = this.ports.viewLag?.()
    const isBehind = lag !== undefined && lag.viewsBehind > 0
    if (!isBehind && (lag === undefined || lag.confirmedMs <= MAX_CONFIRMATION_AGE_MS)) {
      outcomes.refuse(refusal)
      return
    }
    const isQueued = isBehind && !this.ports.stop.isStopping && this.#queue.enqueue(exchange, fields.deadlineMs, performance.now() - arrivedAt, outcome => {
      if (outcome === 'released') outcomes.routeAgain()
      else outcomes.refuseAsStale()
    })
    if (!isQueued) return outcomes.refuseAsStale()
    this.ports.telemetry.logDecision('waits-for-view', fields.requestId ?? '', {
      reason: refusal.reason, viewsBehind: lag.viewsBehind, viewBehindMs: Math.round(lag.behindMs), waiting: this.#queue.length
    })
  }
}
