/** Requests of one entry host that were lost with an endpoint, kept until they expire as evidence. */
import { MAX_REPORTS_PER_HOST, type CrashReport } from './crashReport.js'
import { EVIDENCE_LIFETIME_MS } from './quarantineDurations.js'

/** A request that was lost with its endpoint. */
export type LostRequest = Omit<CrashReport, 'agoMs'>

interface HeldLoss extends LostRequest {
  readonly at: number
}

/** Bounded list of lost requests; the oldest are evicted first. */
export class CrashEvidence {
  #losses: HeldLoss[] = []

  get size (): number { return this.#losses.length }

  /**
   * @param loss - request that was lost
   * @param now - monotonic milliseconds
   */
  record (loss: LostRequest, now: number): void {
    this.#losses = this.#losses.filter(({ at }) => now - at < EVIDENCE_LIFETIME_MS)
    this.#losses.push({ ...loss, at: now })
    if (this.#losses.length > MAX_REPORTS_PER_HOST) this.#losses.shift()
  }

  /** @param fingerprint - fingerprint of a request that completed, and so did not cause the crash */
  forget (fingerprint: string): void {
    this.#losses = this.#losses.filter(loss => loss.fingerprint !== fingerprint)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns reports of all losses that still count as evidence
   */
  reports (now: number): CrashReport[] {
    return this.#losses.filter(({ at }) => now - at < EVIDENCE_LIFETIME_MS).map(({ at, ...loss }) => ({ ...loss, agoMs: now - at }))
  }
}
