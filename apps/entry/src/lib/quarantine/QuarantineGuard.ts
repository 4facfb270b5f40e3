/** Checks one request and the parts of its prompt against the quarantine, and reports the outcome of its attempts. */
import { PROOF_OF_PROGRESS_MS } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import { partFingerprint } from '@eelgrassmux/routing/quarantine/partFingerprint'
import { requestFingerprint, type RequestIdentity } from '@eelgrassmux/routing/quarantine/requestFingerprint'
import type { RequestQuarantine } from './RequestQuarantine.js'

/** Why a quarantined request is rejected. */
export interface QuarantineRejection {
  readonly detail: string
  /** Remaining time of the quarantine, in milliseconds. */
  readonly forMs: number
}

/** Parts of a prompt that other requests may have as well. */
export interface SharedPromptParts {
  readonly model: string
  readonly ids: readonly string[]
}

/** Guard of one request. */
export class QuarantineGuard {
  /** Computed on first use, because most requests never need them. */
  #fingerprint: string | undefined
  #partFingerprints: readonly string[] | undefined
  /** When the first event of the current attempt arrived, in monotonic milliseconds. */
  #firstEventAt: number | undefined
  #isShown = false

  /**
   * @param service - name of the requested service
   * @param identity - fields that identify the request
   * @param quarantine - quarantine of this host
   * @param parts - shared parts of its prompt, if it has any
   */
  constructor (
    private readonly service: string, private readonly identity: RequestIdentity, private readonly quarantine: RequestQuarantine, private readonly parts?: SharedPromptParts
  ) {}

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
    if (forMs !== undefined) return { forMs, detail: `this request has crashed the endpoints that ran it and is quarantined (fingerprint ${this.fingerprint})` }
    for (const [index, part] of this.#parts.entries()) {
      const partForMs = this.quarantine.quarantinedForMs(part, now)
      if (partForMs === undefined) continue
      return { forMs: partForMs, detail: `part ${this.parts?.ids[index] ?? ''} of its prompt has crashed the endpoints that ran requests with it and is quarantined (fingerprint ${part})` }
    }
    return undefined
  }

  /** Records that the request was completed. */
  noteWhole (): void {
    this.#noteSound()
    if (!this.quarantine.isEmpty) this.quarantine.noteWhole(this.fingerprint)
  }

  /** Records that an event has arrived. A request that goes on after its first event has a prompt that crashes nothing. */
  noteEvent (): void {
    if (this.#isShown || this.parts === undefined) return
    const now = performance.now()
    this.#firstEventAt ??= now
    if (now - this.#firstEventAt >= PROOF_OF_PROGRESS_MS) this.#noteSound()
  }

  /**
   * Records that the request was lost with an endpoint, and so may have crashed it.
   *
   * @param endpoint - incarnation of the endpoint
   * @param ranMs - milliseconds since the request was sent to that endpoint
   * @param hadBegun - whether the endpoint had begun to answer; the parts of the prompt are then not suspected
   */
  noteLost (endpoint: string, ranMs: number, hadBegun = false): void {
    const { service } = this
    this.quarantine.noteLost({ fingerprint: this.fingerprint, service, endpoint, ranMs })
    this.#firstEventAt = undefined
    if (!hadBegun && this.#parts.length > 0) this.quarantine.notePartsLost(this.#parts.map(fingerprint => ({ fingerprint, service, endpoint, ranMs })))
  }

  #noteSound (): void {
    this.#isShown = true
    if (this.#parts.length > 0) this.quarantine.notePartsSound(this.#parts)
  }

  get #parts (): readonly string[] {
    if (this.parts === undefined) return []
    const { model, ids } = this.parts
    this.#partFingerprints ??= ids.map(part => partFingerprint({ model, part }))
    return this.#partFingerprints
  }
}
