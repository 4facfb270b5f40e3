/** Checks one request against the quarantine, and reports the outcome of its attempts. */
import { requestFingerprint, type RequestIdentity } from '@eelgrassmux/routing/quarantine/requestFingerprint'
import type { RequestQuarantine } from './RequestQuarantine.js'

/** Why a quarantined request is rejected. */
export interface QuarantineRejection {
  readonly detail: string
  /** Remaining time of the quarantine, in milliseconds. */
  readonly forMs: number
}

/** Guard of one request. */
export class QuarantineGuard {
  /** Computed on first use, because most requests never need it. */
  #fingerprint: string | undefined

  /**
   * @param service - name of the requested service
   * @param identity - fields that identify the request
   * @param quarantine - quarantine of this host
   */
  constructor (private readonly service: string, private readonly identity: RequestIdentity, private readonly quarantine: RequestQuarantine) {}

  get fingerprint (): string {
    this.#fingerprint ??= requestFingerprint(this.identity)
    return this.#fingerprint
  }

  /**
   * @param now - current time, in monotonic milliseconds
   * @returns the rejection; undefined if the request may be sent
   */
  rejection (now: number): QuarantineRejection | undefined {
    if (this.quarantine.isEmpty) return undefined
    const forMs = this.quarantine.quarantinedForMs(this.fingerprint, now)
    if (forMs === undefined) return undefined
    return { forMs, detail: `this request has crashed the endpoints that ran it and is quarantined (fingerprint ${this.fingerprint})` }
  }

  /** Records that the request was completed. */
  noteWhole (): void {
    if (!this.quarantine.isEmpty) this.quarantine.noteWhole(this.fingerprint)
  }

  /**
   * Records that the request was lost with an endpoint, and so may have crashed it.
   *
   * @param endpoint - incarnation of the endpoint
   * @param ranMs - milliseconds since the request was sent to that endpoint
   */
  noteLost (endpoint: string, ranMs: number): void {
    this.quarantine.noteLost({ fingerprint: this.fingerprint, service: this.service, endpoint, ranMs })
  }
}
