/** What one entry host holds of requests that were lost with an endpoint, until it counts no more. */
import { MOST_REPORTS_OF_HOST, type CrashReport } from './crashReport.js'
import { EVIDENCE_MS } from './quarantineTerms.js'

/** A request that was lost with its endpoint. */
export type LostRun = Omit<CrashReport, 'agoMs'>

interface HeldRun extends LostRun {
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
  note (run: LostRun, now: number): void {
    this.#held = this.#held.filter(({ at }) => now - at < EVIDENCE_MS)
    this.#held.push({ ...run, at: now })
    if (this.#held.length > MOST_REPORTS_OF_HOST) this.#held.shift()
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
    return this.#held.filter(({ at }) => now - at < EVIDENCE_MS).map(({ at, ...run }) => ({ ...run, agoMs: now - at }))
  }
}
