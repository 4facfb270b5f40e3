/** The quarantine for calls to endpoints that the configuration names: completions and plain services. */
import type { EndpointTable } from '@eelgrassmux/policy/health/EndpointTable'
import { configuredIncarnationName } from '@eelgrassmux/routing/quarantine/configuredIncarnationName'
import type { RequestIdentity } from '@eelgrassmux/routing/quarantine/requestFingerprint'
import type { RefusalDetails } from '@eelgrassmux/schema/Refusal'
import { QuarantineGuard, type QuarantineRejection } from './QuarantineGuard.js'
import type { RequestQuarantine } from './RequestQuarantine.js'

const MILLISECONDS_PER_SECOND = 1000

/** What one call has to do with the quarantine. */
export interface CallGuard {
  /** @returns how to refuse the call; undefined if it may be sent */
  refusal (): RefusalDetails | undefined
  /**
   * @param endpoint - with which the call was lost
   * @param ranMs - milliseconds since it was sent there
   */
  noteLost (endpoint: string, ranMs: number): void
  /** Notes that the call came through whole. */
  noteWhole (): void
}

/** Hands out a guard for each call. */
export class CallQuarantine {
  /**
   * @param quarantine - of this host
   * @param now - monotonic milliseconds
   */
  constructor (private readonly quarantine: RequestQuarantine, private readonly now: () => number) {}

  /**
   * @param service - that is called
   * @param table - what is known of its endpoints
   * @param identity - the call
   */
  guard (service: string, table: EndpointTable, identity: RequestIdentity): CallGuard {
    const guard = new QuarantineGuard(service, identity, this.quarantine)
    return {
      refusal: () => toRefusal(guard.rejection(this.now())),
      noteLost: (endpoint, ranMs) => {
        // One that leaves ends anyway.
        if (!table.isLeaving(endpoint)) guard.noteLost(configuredIncarnationName({ endpoint, incarnation: table.incarnation(endpoint) }), ranMs)
      },
      noteWhole: () => { guard.noteWhole() }
    }
  }
}

function toRefusal (held: QuarantineRejection | undefined): RefusalDetails | undefined {
  if (held === undefined) return undefined
  return { reason: 'request-quarantined', status: 503, detail: held.detail, retryAfterSeconds: Math.ceil(held.forMs / MILLISECONDS_PER_SECOND) }
}

/** For callers of the tasks that have no quarantine. */
export const NO_QUARANTINE: CallGuard = { refusal: () => undefined, noteLost: () => {}, noteWhole: () => {} }
