/** What one request has to do with the quarantine: whether it is quarantined, and what its attempts show. */
import { requestFingerprint, type RequestIdentity } from '@eelgrassmux/routing/quarantine/requestFingerprint'
import type { RequestQuarantine } from './RequestQuarantine.js'

/** Why a request is not sent. */
export interface QuarantineRejection {
  readonly detail: string
  /** Milliseconds. */
  readonly forMs: number
}

/** Guards one request. */
export class QuarantineGuard {
  /** Worked out only once it is needed: most requests never need it. */
  #fingerprint: string | undefined

  /**
   * @param service - that is asked
   * @param identity - the request
   * @param quarantine - of this host
   */
  constructor (private readonly service: string, private readonly identity: RequestIdentity, private readonly quarantine: RequestQuarantine) {}

  get fingerprint (): string {
    this.#fingerprint ??= requestFingerprint(this.identity)
    return this.#fingerprint
  }

  /**
   * @param now - monotonic milliseconds
   * @returns undefined if the request may be sent
   */
  rejection (now: number): QuarantineRejection | undefined {
    if (this.quarantine.isIdle) return undefined
    const forMs = this.quarantine.quarantinedForMs(this.fingerprint, now)
    if (forMs === undefined) return undefined
    return { forMs, detail: `this request has crashed the endpoints that ran it and is quarantined (fingerprint ${this.fingerprint})` }
  }

  /** Notes that the request came through whole. */
  noteWhole (): void {
    if (!this.quarantine.isIdle) this.quarantine.noteWhole(this.fingerprint)
  }

  /**
   * Whoever was at an endpoint when it ended may be the one that ended it.
   *
   * @param endpoint - incarnation with which the request was lost
   * @param ranMs - milliseconds since it was sent there
   */
  noteLost (endpoint: string, ranMs: number): void {
    this.quarantine.noteLost({ fingerprint: this.fingerprint, service: this.service, endpoint, ranMs })
  }
}
