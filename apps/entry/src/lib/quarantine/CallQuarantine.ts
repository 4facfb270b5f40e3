/** Quarantine for calls to configured endpoints, that is, for completions and plain services. */
import type { EndpointTable } from '@eelgrassmux/policy/health/EndpointTable'
import { configuredIncarnationName } from '@eelgrassmux/routing/quarantine/configuredIncarnationName'
import type { RequestIdentity } from '@eelgrassmux/routing/quarantine/requestFingerprint'
import type { RefusalDetails } from '@eelgrassmux/schema/Refusal'
import { QuarantineGuard, type QuarantineRejection } from './QuarantineGuard.js'
import type { RequestQuarantine } from './RequestQuarantine.js'

const MILLISECONDS_PER_SECOND = 1000

/** Checks one call against the quarantine, and reports its outcome. */
export interface CallGuard {
  /** @returns the refusal of the call; undefined if it may be sent */
  refusal (): RefusalDetails | undefined
  /**
   * @param endpoint - endpoint that the call was lost with
   * @param ranMs - milliseconds since the call was sent to that endpoint
   */
  noteLost (endpoint: string, ranMs: number): void
  /** Records that the call was completed. */
  noteWhole (): void
}

/** Creates a guard for each call. */
export class CallQuarantine {
  /**
   * @param quarantine - quarantine of this host
   * @param now - returns the current time in monotonic milliseconds
   */
  constructor (private readonly quarantine: RequestQuarantine, private readonly now: () => number) {}

  /**
   * @param service - name of the called service
   * @param table - state of the service's endpoints
   * @param identity - fields that identify the call
   */
  guard (service: string, table: EndpointTable, identity: RequestIdentity): CallGuard {
    const guard = new QuarantineGuard(service, identity, this.quarantine)
    return {
      refusal: () => toRefusal(guard.rejection(this.now())),
      noteLost: (endpoint, ranMs) => {
        // A leaving endpoint stops by itself, so the call did not crash it.
        if (!table.isLeaving(endpoint)) guard.noteLost(configuredIncarnationName({ endpoint, incarnation: table.incarnation(endpoint) }), ranMs)
      },
      noteWhole: () => { guard.noteWhole() }
    }
  }
}

function toRefusal (rejection: QuarantineRejection | undefined): RefusalDetails | undefined {
  if (rejection === undefined) return undefined
  return { reason: 'request-quarantined', status: 503, detail: rejection.detail, retryAfterSeconds: Math.ceil(rejection.forMs / MILLISECONDS_PER_SECOND) }
}

/** Guard that quarantines nothing, for simulations without a quarantine. */
export const NO_QUARANTINE: CallGuard = { refusal: () => undefined, noteLost: () => {}, noteWhole: () => {} }
