/**
 * Reports requests that were lost with endpoints, and suspected requests that were completed,
 * to the leading control host. Reports all recorded losses again to each new leader.
 */
import { CrashEvidence, type LostRequest } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import { MAX_REPORTS_PER_HOST } from '@eelgrassmux/routing/quarantine/crashReport'
import { reportCrashes } from '@eelgrassmux/rpc/methods/quarantineMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Delay before a report, in milliseconds; it collects all losses of one endpoint crash. */
const BATCH_WINDOW_MS = 20

/** Time for which further losses are collected that are held back, in milliseconds. */
const HELD_BATCH_WINDOW_MS = 100

/** Delay before a report that was not accepted is sent again, in milliseconds. */
const RETRY_DELAY_MS = 200

const CALL_TIMEOUT_MS = 1000

/** Dependencies of the reporter. */
export interface CrashReporterPorts {
  readonly rpc: Pick<RpcClient, 'call'>
  /** Returns the address of the leading control host, if known. */
  leader (): string | undefined
  readonly telemetry: Telemetry
}

/** Sends reports until the leader has accepted them. */
export class CrashReporter {
  readonly #evidence = new CrashEvidence()
  readonly #completed = new Set<string>()
  readonly #reports: LabelledCounter
  #hasUnreported = false
  #timer: NodeJS.Timeout | undefined
  #heldTimer: NodeJS.Timeout | undefined
  #isReporting = false
  #isStopped = false

  /**
   * @param host - name of this host
   * @param ports - dependencies
   */
  constructor (private readonly host: string, private readonly ports: CrashReporterPorts) {
    this.#reports = ports.telemetry.labelledCounter('crash_reports_total', 'Reports of requests that were lost with an endpoint, by what became of them', 'outcome')
  }

  /** @param run - request that was lost with its endpoint */
  noteLost (run: LostRequest): void {
    this.#evidence.record(run, performance.now())
    this.#hasUnreported = true
    this.#schedule(BATCH_WINDOW_MS)
  }

  /** @param parts - parts of a request that was lost with its endpoint before it had begun to answer */
  notePartsLost (parts: readonly LostRequest[]): void {
    const now = performance.now()
    for (const part of parts) this.#reportAt(this.#evidence.recordPart(part, now), now)
  }

  /** @param fingerprints - fingerprints of the shared parts of a request that has made progress */
  notePartsSound (fingerprints: readonly string[]): void {
    const now = performance.now()
    for (const fingerprint of fingerprints) this.#evidence.recordSoundPart(fingerprint, now)
  }

  /**
   * @param fingerprint - fingerprint of a part that has just become suspected
   * @returns whether a request with the part has made progress at this host after the crashes for which it is suspected
   */
  isDisproved (fingerprint: string): boolean {
    return this.#evidence.disproves(fingerprint, performance.now())
  }

  /** @param fingerprint - fingerprint of a completed request, or of a part of it, that has a quarantine entry */
  noteWhole (fingerprint: string): void {
    this.#evidence.forget(fingerprint)
    if (this.#completed.size >= MAX_REPORTS_PER_HOST) return
    this.#completed.add(fingerprint)
    this.#hasUnreported = true
    this.#schedule(BATCH_WINDOW_MS)
  }

  /** Must be called when another control host becomes the leader, which has received no reports yet. */
  leaderChanged (): void {
    if (this.#evidence.size === 0) return
    this.#hasUnreported = true
    this.#schedule(BATCH_WINDOW_MS)
  }

  /** Stops reporting. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
    clearTimeout(this.#heldTimer)
  }

  /** Reports losses that are held back, in one go. A completion may have disproved them by then. */
  #reportAt (at: number, now: number): void {
    if (at <= now) {
      this.#hasUnreported = true
      this.#schedule(BATCH_WINDOW_MS)
      return
    }
    if (this.#isStopped) return
    this.#heldTimer ??= setTimeout(() => {
      this.#heldTimer = undefined
      this.#hasUnreported = true
      this.#schedule(BATCH_WINDOW_MS)
    }, at - now + HELD_BATCH_WINDOW_MS)
  }

  #schedule (delayMs: number): void {
    if (this.#isStopped) return
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined
      this.#reportIfDue()
    }, delayMs)
  }

  #reportIfDue (): void {
    const leader = this.ports.leader()
    if (!this.#hasUnreported || this.#isReporting) return
    if (leader === undefined) this.#schedule(RETRY_DELAY_MS)
    else void this.#report(leader)
  }

  async #report (leader: string): Promise<void> {
    this.#isReporting = true
    this.#hasUnreported = false
    const completed = [...this.#completed]
    const answer = await this.ports.rpc.call(leader, reportCrashes, { host: this.host, losses: this.#evidence.reports(performance.now()), completed }, CALL_TIMEOUT_MS)
    this.#isReporting = false
    const isAccepted = answer.ok && answer.value.isTaken
    if (isAccepted) for (const fingerprint of completed) this.#completed.delete(fingerprint)
    else this.#hasUnreported = true
    this.#reports.count(isAccepted ? 'taken' : answer.ok ? 'not-leader' : answer.error.kind)
    if (this.#hasUnreported) this.#schedule(isAccepted ? BATCH_WINDOW_MS : RETRY_DELAY_MS)
  }
}
