/** What one entry host has lost with endpoints: requests, and the parts of those that had not begun to answer. */
import { SoundParts } from './SoundParts.js'
import { MAX_REPORTS_PER_HOST, type CrashReport } from './crashReport.js'
import { EVIDENCE_LIFETIME_MS } from './quarantineDurations.js'

/**
 * Time for which the loss of a part is not reported that requests were completed with before, in milliseconds. Most parts
 * at a crash are shared by many requests, and another one of these is completed in this time.
 */
export const KNOWN_PART_DELAY_MS = 2000

/** Time after its first event, in milliseconds, for which a request has to go on to show that its parts crash nothing. */
export const PROOF_OF_PROGRESS_MS = 300

/** Time before a suspicion arrives in which a completion disproves it, in milliseconds: less than passes between the first crash and the suspicion. */
const DISPROVING_MS = 400

/** A request, or a part of one, that was lost with its endpoint. */
export type LostRequest = Omit<CrashReport, 'agoMs'>

interface HeldLoss extends LostRequest {
  readonly at: number
  /** When it may be reported, in monotonic milliseconds. */
  readonly reportedFrom: number
  /** Whether the fingerprint is that of a part. */
  readonly isPart: boolean
}

/** Bounded list of losses; the oldest are evicted first. */
export class CrashEvidence {
  readonly #soundParts = new SoundParts()
  #losses: HeldLoss[] = []

  get size (): number { return this.#losses.length }

  /**
   * @param loss - request that was lost
   * @param now - monotonic milliseconds
   */
  record (loss: LostRequest, now: number): void {
    this.#add({ ...loss, at: now, reportedFrom: now, isPart: false }, now)
  }

  /**
   * @param loss - part of a request that was lost before it had begun to answer
   * @param now - monotonic milliseconds
   * @returns when the loss may be reported, in monotonic milliseconds
   */
  recordPart (loss: LostRequest, now: number): number {
    const reportedFrom = this.#soundParts.isKnown(loss.fingerprint, now) ? now + KNOWN_PART_DELAY_MS : now
    this.#add({ ...loss, at: now, reportedFrom, isPart: true }, now)
    return reportedFrom
  }

  /**
   * @param part - fingerprint of a part of a request that was completed or went on for a while after its first event, so that the part did not cause earlier crashes
   * @param now - monotonic milliseconds
   */
  recordSoundPart (part: string, now: number): void {
    this.#soundParts.record(part, now)
  }

  /**
   * @param part - fingerprint of a part that has just become suspected
   * @param now - monotonic milliseconds
   * @returns whether a request with the part was completed after the crashes for which it is suspected
   */
  disproves (part: string, now: number): boolean {
    return this.#soundParts.isShownSince(part, now - DISPROVING_MS)
  }

  /** @param fingerprint - fingerprint of a request or part that completed, and so did not cause the crash */
  forget (fingerprint: string): void {
    this.#losses = this.#losses.filter(loss => loss.fingerprint !== fingerprint)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns reports of all losses that count as evidence
   */
  reports (now: number): CrashReport[] {
    this.#dropDisproved(now)
    return this.#losses.filter(({ reportedFrom }) => reportedFrom <= now)
      .map(({ fingerprint, service, endpoint, ranMs, at }) => ({ fingerprint, service, endpoint, ranMs, agoMs: now - at }))
  }

  #add (loss: HeldLoss, now: number): void {
    this.#dropDisproved(now)
    // One report for each endpoint suffices, and most requests at an endpoint share parts.
    if (loss.isPart && this.#losses.some(held => held.fingerprint === loss.fingerprint && held.endpoint === loss.endpoint)) return
    this.#losses.push(loss)
    if (this.#losses.length > MAX_REPORTS_PER_HOST) this.#losses.shift()
  }

  #dropDisproved (now: number): void {
    this.#losses = this.#losses.filter(({ at, isPart, fingerprint }) => now - at < EVIDENCE_LIFETIME_MS && !(isPart && this.#soundParts.isShownSince(fingerprint, at)))
  }
}
