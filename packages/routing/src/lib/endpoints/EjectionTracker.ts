/** Tracks which endpoints this host avoids because of what all hosts have observed. */
import type { PeerLoad } from '../load/PeerLoad.js'
import type { LoadFigures } from '../load/loadReport.js'
import type { EndpointState } from './EndpointState.js'
import { sharedFailureShare, ejectionReason, type EjectionReason } from './sharedObservations.js'

/** An endpoint that was ejected or readmitted, with the figures that decided it. */
export interface EjectionChange {
  readonly endpoint: EndpointState
  /** Undefined when the endpoint is readmitted. */
  readonly reason: EjectionReason | undefined
  readonly others: LoadFigures
  readonly failureShare: number
  readonly meanShare: number
}

/** Remembers the ejected endpoints and why they were ejected. */
export class EjectionTracker {
  readonly #reasons = new Map<string, EjectionReason>()

  /**
   * Compares the endpoints of one service with their state at the previous call.
   *
   * @param endpoints - all endpoints of the service
   * @param others - work and observations that the other hosts have reported
   * @param now - monotonic milliseconds
   * @returns endpoints that were ejected or readmitted since the previous call, or whose reason changed
   */
  detectChanges (endpoints: readonly EndpointState[], others: PeerLoad, now: number): EjectionChange[] {
    const observed = endpoints.map(endpoint => {
      const figures = others.forEndpoint(endpoint.incarnation)
      return { endpoint, others: figures, failureShare: sharedFailureShare(endpoint, figures, now) }
    })
    const meanShare = observed.reduce((sum, entry) => sum + entry.failureShare, 0) / Math.max(1, observed.length)
    const changes: EjectionChange[] = []
    for (const entry of observed) {
      const { incarnation } = entry.endpoint
      const reason = ejectionReason(entry.endpoint, entry.others, entry.failureShare - meanShare, now)
      if (reason === this.#reasons.get(incarnation)) continue
      if (reason === undefined) this.#reasons.delete(incarnation)
      else this.#reasons.set(incarnation, reason)
      changes.push({ ...entry, reason, meanShare })
    }
    return changes
  }

  /** @param incarnation - incarnation that is no longer listed */
  forget (incarnation: string): void {
    this.#reasons.delete(incarnation)
  }

  /** Number of endpoints that are ejected now. */
  get size (): number { return this.#reasons.size }
}
