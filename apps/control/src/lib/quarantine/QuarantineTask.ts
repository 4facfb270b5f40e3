/**
 * Finds requests that crash the endpoints that run them, from what all entry hosts report, and
 * proposes that they be quarantined.
 *
 * Only the leader adds up, in memory; what is decided is in the agreed log. Hosts tell a new
 * leader again what they hold, so that a change of leader loses no evidence.
 */
import { CrashCorrelator } from '@eelgrassmux/routing/quarantine/CrashCorrelator'
import { reportCrashes, type ReportCrashesRequest, type ReportCrashesResponse } from '@eelgrassmux/rpc/methods/quarantineMethods'
import type { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import type { QuarantineDecision } from '@eelgrassmux/schema/quarantineEntry'
import type { Command } from '@eelgrassmux/state/commands'
import type { QuarantineRegistry } from '@eelgrassmux/state/QuarantineRegistry'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { CrashCheck } from './CrashCheck.js'
import type { CrashDetector } from './CrashDetector.js'

/** Interval between looks while reports settle and endpoints answer, in milliseconds. */
const LOOK_MS = 100

/** Time after the last news in which that may go on, in milliseconds. */
const SETTLING_MS = 1000

/** Interval between looks after that, in milliseconds. */
const SLOW_LOOK_MS = 500

/** Time after the last news in which the list may still tell that an endpoint has ended, in milliseconds. */
const ACTIVE_MS = 15_000

/** Interval between looks at entries that are over, in milliseconds. */
const EXPIRE_MS = 1000

/** What the task needs from around it. */
export interface QuarantinePorts {
  isLeader (): boolean
  readonly register: QuarantineRegistry
  propose (command: Command): Promise<unknown>
  readonly detector: CrashDetector
  readonly telemetry: Telemetry
}

/** Works while hosts report. */
export class QuarantineTask {
  readonly #correlator = new CrashCorrelator()
  readonly #check: CrashCheck
  readonly #decisions: LabelledCounter
  readonly #reports: LabelledCounter
  readonly #expireTimer: NodeJS.Timeout
  #lookTimer: NodeJS.Timeout | undefined
  #newsAt = 0
  #isProposing = false
  /** Decided while a proposal was under way. */
  #waiting: QuarantineDecision[] = []

  /** @param ports - surroundings */
  constructor (private readonly ports: QuarantinePorts) {
    const { telemetry } = ports
    this.#decisions = telemetry.labelledCounter('quarantine_decisions_total', 'Changes of the quarantine by kind', 'decision')
    this.#reports = telemetry.labelledCounter('crash_reports_total', 'Reports of requests that were lost with an endpoint, by what became of them', 'outcome')
    telemetry.gauge('requests_quarantined', 'Requests that are kept from endpoints', () => ports.register.all.filter(({ state }) => state === 'quarantined').length)
    telemetry.gauge('endpoint_crashes_held', 'Ends of endpoints that still count against the requests that were there', () => this.#correlator.crashCount)
    this.#check = new CrashCheck((endpoint, hasCrashed) => { this.#settle(endpoint, hasCrashed) })
    this.#expireTimer = setInterval(() => { this.#expire() }, EXPIRE_MS)
  }

  /** @param server - where to register */
  register (server: RpcServer): void {
    server.handle(reportCrashes, async report => this.observe(report))
  }

  /**
   * @param report - of one host
   * @returns whether it was taken
   */
  observe ({ losses, completed }: ReportCrashesRequest): ReportCrashesResponse {
    if (!this.ports.isLeader()) {
      this.#reports.count('not-leader')
      return { isTaken: false }
    }
    const now = performance.now()
    for (const loss of losses) this.#correlator.observe(loss, now)
    this.#reports.count('taken', losses.length)
    this.#clear(completed, now)
    this.#wake(now)
    return { isTaken: true }
  }

  /** Ends judging. */
  stop (): void {
    clearInterval(this.#expireTimer)
    clearTimeout(this.#lookTimer)
  }

  #wake (now: number): void {
    this.#newsAt = now
    clearTimeout(this.#lookTimer)
    this.#scheduleLook(LOOK_MS)
  }

  #scheduleLook (delayMs: number): void {
    this.#lookTimer = setTimeout(() => { this.#look() }, delayMs)
  }

  #look (): void {
    const now = performance.now()
    if (!this.ports.isLeader()) {
      this.#correlator.reset()
      return
    }
    const quietMs = now - this.#newsAt
    if (quietMs < ACTIVE_MS) this.#scheduleLook(quietMs < SETTLING_MS ? LOOK_MS : SLOW_LOOK_MS)
    this.#verify(now)
    // What is under way would be decided a second time.
    if (!this.#isProposing) this.#propose(this.#correlator.decide(this.ports.register, now))
  }

  #verify (now: number): void {
    const uncertain = this.#correlator.unconfirmedCrashes(this.ports.register)
    this.#check.retain(name => uncertain.includes(name))
    if (uncertain.length === 0) return
    for (const [name, knowledge] of this.ports.detector.look(uncertain)) {
      if (knowledge === 'ended') this.#settle(name, true)
      else if (knowledge !== undefined) this.#check.ask(name, knowledge, now)
    }
  }

  #settle (endpoint: string, hasCrashed: boolean): void {
    const now = performance.now()
    this.#correlator.recordCrashCheck(endpoint, hasCrashed, now)
    this.ports.telemetry.logStateChange('endpoint-crash-checked', { endpoint, hasCrashed })
    this.#wake(now)
  }

  #clear (fingerprints: readonly string[], now: number): void {
    const decisions = fingerprints.flatMap((fingerprint): QuarantineDecision[] => {
      const entry = this.ports.register.find(fingerprint)
      this.#correlator.recordCompletion(fingerprint, now)
      return entry === undefined ? [] : [{ fingerprint, service: entry.service, decision: 'clear', forMs: 0 }]
    })
    this.#propose(decisions)
  }

  #propose (decisions: readonly QuarantineDecision[]): void {
    if (this.#isProposing) {
      this.#waiting.push(...decisions)
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
      this.#wake(performance.now())
      this.#propose(this.#waiting.splice(0))
    }
    this.ports.propose({ kind: 'change-quarantine', decisions: [...decisions] }).then(finish, finish)
  }

  #expire (): void {
    const { nextExpiryAt: nextEndAt } = this.ports.register
    if (nextEndAt === undefined || nextEndAt > Date.now() || !this.ports.isLeader()) return
    void this.ports.propose({ kind: 'expire-quarantine' })
  }
}
