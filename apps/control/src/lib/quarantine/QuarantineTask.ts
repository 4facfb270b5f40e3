/**
 * Finds requests that crash the endpoints that run them, based on the reports of all entry
 * hosts, and proposes to quarantine them.
 *
 * Only the leader correlates the reports, in memory; decisions are committed to the log. Hosts
 * send the reports they hold again to a new leader, so that a change of leader loses no evidence.
 */
import { CrashCorrelator } from '@eelgrassmux/routing/quarantine/CrashCorrelator'
import { reportCrashes, type ReportCrashesRequest, type ReportCrashesResponse } from '@eelgrassmux/rpc/methods/quarantineMethods'
import type { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import type { QuarantineDecision } from '@eelgrassmux/schema/quarantineEntry'
import type { Command } from '@eelgrassmux/state/commands'
import type { QuarantineRegistry } from '@eelgrassmux/state/QuarantineRegistry'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { CrashChecker } from './CrashChecker.js'
import type { CrashDetector } from './CrashDetector.js'

/** Interval between checks while further reports and answers of endpoints arrive, in milliseconds. */
const SETTLING_CHECK_INTERVAL_MS = 100

/** Time after the last evidence in which further reports and answers may arrive, in milliseconds. */
const SETTLING_PERIOD_MS = 1000

/** Interval between checks after the settling period, in milliseconds. */
const ACTIVE_CHECK_INTERVAL_MS = 500

/** Time after the last evidence in which the endpoint list may still show that an endpoint has ended, in milliseconds. */
const ACTIVE_PERIOD_MS = 15_000

/** Interval between checks for expired quarantine entries, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 1000

/** Dependencies of the task. */
export interface QuarantinePorts {
  isLeader (): boolean
  readonly register: QuarantineRegistry
  propose (command: Command): Promise<unknown>
  readonly detector: CrashDetector
  readonly telemetry: Telemetry
}

/** Correlates crash reports and proposes quarantine decisions. */
export class QuarantineTask {
  readonly #correlator = new CrashCorrelator()
  readonly #crashChecker: CrashChecker
  readonly #decisions: LabelledCounter
  readonly #reports: LabelledCounter
  readonly #expireTimer: NodeJS.Timeout
  #checkTimer: NodeJS.Timeout | undefined
  /** When the next check is due, in monotonic milliseconds. */
  #checkDueAt = Number.POSITIVE_INFINITY
  #lastEvidenceAt = 0
  #isProposing = false
  /** Decisions made while a proposal is in progress. */
  #queuedDecisions: QuarantineDecision[] = []

  /** @param ports - dependencies */
  constructor (private readonly ports: QuarantinePorts) {
    const { telemetry } = ports
    this.#decisions = telemetry.labelledCounter('quarantine_decisions_total', 'Changes of the quarantine by kind', 'decision')
    this.#reports = telemetry.labelledCounter('crash_reports_total', 'Reports of requests that were lost with an endpoint, by what became of them', 'outcome')
    telemetry.gauge('requests_quarantined', 'Requests that are kept from endpoints', () => ports.register.all.filter(({ state }) => state === 'quarantined').length)
    telemetry.gauge('endpoint_crashes_held', 'Ends of endpoints that still count against the requests that were there', () => this.#correlator.crashCount)
    this.#crashChecker = new CrashChecker((endpoint, hasCrashed) => { this.#settleCrash(endpoint, hasCrashed) })
    this.#expireTimer = setInterval(() => { this.#expire() }, EXPIRY_CHECK_INTERVAL_MS)
  }

  /** @param server - RPC server on which to register the method */
  register (server: RpcServer): void {
    server.handle(reportCrashes, async report => this.observe(report))
  }

  /**
   * @param report - report of one host
   * @returns whether the report was accepted, which only the leader does
   */
  observe ({ losses, completed }: ReportCrashesRequest): ReportCrashesResponse {
    if (!this.ports.isLeader()) {
      this.#reports.count('not-leader')
      return { isTaken: false }
    }
    const now = performance.now()
    for (const loss of losses) this.#correlator.observe(loss, now)
    this.#reports.count('taken', losses.length)
    this.#clearCompleted(completed, now)
    this.#restartChecks(now)
    return { isTaken: true }
  }

  /** Stops all checks. */
  stop (): void {
    clearInterval(this.#expireTimer)
    clearTimeout(this.#checkTimer)
  }

  #restartChecks (now: number): void {
    this.#lastEvidenceAt = now
    this.#scheduleCheck(SETTLING_CHECK_INTERVAL_MS, now)
  }

  /** Schedules a check, unless an earlier one is due. */
  #scheduleCheck (delayMs: number, now: number): void {
    // Many hosts may report without a pause, which must not put off a check that is due.
    if (this.#checkDueAt <= now + delayMs) return
    this.#checkDueAt = now + delayMs
    clearTimeout(this.#checkTimer)
    this.#checkTimer = setTimeout(() => { this.#runCheck() }, delayMs)
  }

  #runCheck (): void {
    const now = performance.now()
    this.#checkDueAt = Number.POSITIVE_INFINITY
    if (!this.ports.isLeader()) {
      this.#correlator.reset()
      return
    }
    const idleMs = now - this.#lastEvidenceAt
    if (idleMs < ACTIVE_PERIOD_MS) this.#scheduleCheck(idleMs < SETTLING_PERIOD_MS ? SETTLING_CHECK_INTERVAL_MS : ACTIVE_CHECK_INTERVAL_MS, now)
    this.#verifyCrashes(now)
    // While a proposal is in progress, its decisions would be made a second time.
    if (!this.#isProposing) this.#propose(this.#correlator.decide(this.ports.register, now))
  }

  #verifyCrashes (now: number): void {
    const unconfirmed = this.#correlator.unconfirmedCrashes(this.ports.register)
    this.#crashChecker.retain(name => unconfirmed.includes(name))
    if (unconfirmed.length === 0) return
    for (const [name, knowledge] of this.ports.detector.check(unconfirmed)) {
      if (knowledge === 'ended') this.#settleCrash(name, true)
      else if (knowledge !== undefined) this.#crashChecker.ask(name, knowledge, now)
    }
  }

  #settleCrash (endpoint: string, hasCrashed: boolean): void {
    const now = performance.now()
    this.#correlator.recordCrashCheck(endpoint, hasCrashed, now)
    this.ports.telemetry.logStateChange('endpoint-crash-checked', { endpoint, hasCrashed })
    this.#restartChecks(now)
  }

  #clearCompleted (fingerprints: readonly string[], now: number): void {
    const decisions = fingerprints.flatMap((fingerprint): QuarantineDecision[] => {
      const entry = this.ports.register.find(fingerprint)
      this.#correlator.recordCompletion(fingerprint, now)
      return entry === undefined ? [] : [{ fingerprint, service: entry.service, decision: 'clear', forMs: 0 }]
    })
    this.#propose(decisions)
  }

  #propose (decisions: readonly QuarantineDecision[]): void {
    if (this.#isProposing) {
      this.#queuedDecisions.push(...decisions)
      return
    }
    if (decisions.length === 0) return
    this.#isProposing = true
    for (const { fingerprint, service, decision, forMs } of decisions) {
      this.#decisions.count(decision)
      this.ports.telemetry.logStateChange('quarantine-decided', { fingerprint, service, decision, forMs, ...this.#correlator.describe(fingerprint) })
    }
    const finish = (): void => {
      this.#isProposing = false
      this.#restartChecks(performance.now())
      this.#propose(this.#queuedDecisions.splice(0))
    }
    this.ports.propose({ kind: 'change-quarantine', decisions: [...decisions] }).then(finish, finish)
  }

  #expire (): void {
    const { nextExpiryAt: nextEndAt } = this.ports.register
    if (nextEndAt === undefined || nextEndAt > Date.now() || !this.ports.isLeader()) return
    void this.ports.propose({ kind: 'expire-quarantine' })
  }
}
