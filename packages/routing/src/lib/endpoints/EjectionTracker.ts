/** Notices when what all hosts have seen turns this host away from an endpoint, or back to it. */
import type { PeerLoad } from '../load/PeerLoad.js'
import type { LoadFigures } from '../load/loadReport.js'
import type { EndpointState } from './EndpointState.js'
import { sharedFailureShare, ejectionReason, type EjectionReason } from './sharedObservations.js'

/** A change of belief, with what decided it. */
export interface EjectionChange {
  readonly endpoint: EndpointState
  /** Undefined when the endpoint gets work again. */
  readonly reason: EjectionReason | undefined
  readonly others: LoadFigures
  readonly failureShare: number
  readonly meanShare: number
}

/** Remembers which endpoints are ejected. */
export class EjectionTracker {
  readonly #reasons = new Map<string, EjectionReason>()

  /**
   * Looks at the endpoints of one service.
   *
   * @param endpoints - all of the service
   * @param others - what the other hosts have told
   * @param now - monotonic milliseconds
   * @returns what has changed since the last look
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

  /** @param incarnation - one that is gone */
  forget (incarnation: string): void {
    this.#reasons.delete(incarnation)
  }

  /** Endpoints that are ejected now. */
  get size (): number { return this.#reasons.size }
}
