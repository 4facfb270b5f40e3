/** What one entry host holds of requests that were lost with an endpoint, until it counts no more. */
import { MAX_REPORTS_PER_HOST, type CrashReport } from './crashReport.js'
import { EVIDENCE_LIFETIME_MS } from './quarantineDurations.js'

/** A request that was lost with its endpoint. */
export type LostRequest = Omit<CrashReport, 'agoMs'>

interface HeldRun extends LostRequest {
  readonly at: number
}

/** Bounded; the oldest go first. */
export class CrashEvidence {
  #held: HeldRun[] = []

  get size (): number { return this.#held.length }

  /**
   * @param run - what was lost
   * @param now - monotonic milliseconds
   */
  record (run: LostRequest, now: number): void {
    this.#held = this.#held.filter(({ at }) => now - at < EVIDENCE_LIFETIME_MS)
    this.#held.push({ ...run, at: now })
    if (this.#held.length > MAX_REPORTS_PER_HOST) this.#held.shift()
  }

  /** @param fingerprint - of a request that completed: it was only there */
  forget (fingerprint: string): void {
    this.#held = this.#held.filter(held => held.fingerprint !== fingerprint)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns all that still counts
   */
  reports (now: number): CrashReport[] {
    return this.#held.filter(({ at }) => now - at < EVIDENCE_LIFETIME_MS).map(({ at, ...run }) => ({ ...run, agoMs: now - at }))
  }
}
