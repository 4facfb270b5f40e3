/** The quarantine for calls to endpoints that the configuration names: completions and plain services. */
import type { EndpointTable } from '@eelgrassmux/policy/health/EndpointTable'
import { configuredEndName } from '@eelgrassmux/routing/quarantine/configuredEndName'
import { requestFingerprint, type RequestIdentity } from '@eelgrassmux/routing/quarantine/requestFingerprint'
import type { RefusalDetails } from '@eelgrassmux/schema/Refusal'
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
    let known: string | undefined
    const fingerprint = (): string => {
      known ??= requestFingerprint(identity)
      return known
    }
    return {
      refusal: () => this.quarantine.isIdle ? undefined : this.#refusal(fingerprint()),
      noteLost: (endpoint, ranMs) => {
        // One that leaves ends anyway.
        if (table.isLeaving(endpoint)) return
        this.quarantine.noteLost({ fingerprint: fingerprint(), service, endpoint: configuredEndName({ endpoint, incarnation: table.incarnation(endpoint) }), ranMs })
      },
      noteWhole: () => { if (!this.quarantine.isIdle) this.quarantine.noteWhole(fingerprint()) }
    }
  }

  #refusal (fingerprint: string): RefusalDetails | undefined {
    const heldForMs = this.quarantine.heldForMs(fingerprint, this.now())
    if (heldForMs === undefined) return undefined
    return {
      reason: 'request-quarantined',
      status: 503,
      detail: `this request has ended the endpoints that ran it and is held back for now (fingerprint ${fingerprint})`,
      retryAfterSeconds: Math.ceil(heldForMs / MILLISECONDS_PER_SECOND)
    }
  }
}

/** For callers of the tasks that have no quarantine. */
export const UNGUARDED: CallGuard = { refusal: () => undefined, noteLost: () => {}, noteWhole: () => {} }
