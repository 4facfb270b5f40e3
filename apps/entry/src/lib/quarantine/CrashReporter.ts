/**
 * Tells the leading control host of requests that were lost with endpoints, and of suspected
 * ones that came through. What is held is told again whenever another control host leads.
 */
import { CrashEvidence, type LostRequest } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import { MAX_REPORTS_PER_HOST } from '@eelgrassmux/routing/quarantine/crashReport'
import { reportCrashes } from '@eelgrassmux/rpc/methods/quarantineMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Pause in which the losses of one endpoint's end come together, in milliseconds. */
const GATHER_MS = 20

/** Pause before it is told again what was not taken, in milliseconds. */
const RETRY_MS = 200

/** Deadline of a call, in milliseconds. */
const CALL_MS = 1000

/** Where reports go. */
export interface CrashReporterPorts {
  readonly rpc: Pick<RpcClient, 'call'>
  /** Address of the leading control host, as far as it is known. */
  leader (): string | undefined
  readonly telemetry: Telemetry
}

/** Tells until all is told. */
export class CrashReporter {
  readonly #evidence = new CrashEvidence()
  readonly #completed = new Set<string>()
  readonly #reports: LabelledCounter
  #hasUnreported = false
  #timer: NodeJS.Timeout | undefined
  #isReporting = false
  #isStopped = false

  /**
   * @param host - name of this host
   * @param ports - surroundings
   */
  constructor (private readonly host: string, private readonly ports: CrashReporterPorts) {
    this.#reports = ports.telemetry.labelledCounter('crash_reports_total', 'Reports of requests that were lost with an endpoint, by what became of them', 'outcome')
  }

  /** @param run - a request that was lost with its endpoint */
  noteLost (run: LostRequest): void {
    this.#evidence.record(run, performance.now())
    this.#hasUnreported = true
    this.#schedule(GATHER_MS)
  }

  /** @param fingerprint - of a request with an entry, which came through whole */
  noteWhole (fingerprint: string): void {
    this.#evidence.forget(fingerprint)
    if (this.#completed.size >= MAX_REPORTS_PER_HOST) return
    this.#completed.add(fingerprint)
    this.#hasUnreported = true
    this.#schedule(GATHER_MS)
  }

  /** Call when another control host leads: it has heard nothing yet. */
  leaderChanged (): void {
    if (this.#evidence.size === 0) return
    this.#hasUnreported = true
    this.#schedule(GATHER_MS)
  }

  /** Ends telling. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
  }

  #schedule (delayMs: number): void {
    if (this.#isStopped) return
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined
      this.#look()
    }, delayMs)
  }

  #look (): void {
    const leader = this.ports.leader()
    if (!this.#hasUnreported || this.#isReporting) return
    if (leader === undefined) this.#schedule(RETRY_MS)
    else void this.#tell(leader)
  }

  async #tell (leader: string): Promise<void> {
    this.#isReporting = true
    this.#hasUnreported = false
    const completed = [...this.#completed]
    const answer = await this.ports.rpc.call(leader, reportCrashes, { host: this.host, losses: this.#evidence.reports(performance.now()), completed }, CALL_MS)
    this.#isReporting = false
    const isTaken = answer.ok && answer.value.isTaken
    if (isTaken) for (const fingerprint of completed) this.#completed.delete(fingerprint)
    else this.#hasUnreported = true
    this.#reports.count(isTaken ? 'taken' : answer.ok ? 'not-leader' : answer.error.kind)
    if (this.#hasUnreported) this.#schedule(isTaken ? GATHER_MS : RETRY_MS)
  }
}
