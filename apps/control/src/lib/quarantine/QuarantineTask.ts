/**
 * Finds requests that end the endpoints that run them, from what all entry hosts report, and
 * proposes that they be held back.
 *
 * Only the leader adds up, in memory; what is decided is in the agreed log. Hosts tell a new
 * leader again what they hold, so that a change of leader loses no evidence.
 */
import { EndTally } from '@eelgrassmux/routing/quarantine/EndTally'
import { reportEnds, type ReportEndsRequest, type ReportEndsResponse } from '@eelgrassmux/rpc/methods/quarantineMethods'
import type { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import type { Judgement } from '@eelgrassmux/schema/requestVerdict'
import type { Command } from '@eelgrassmux/state/commands'
import type { VerdictRegister } from '@eelgrassmux/state/VerdictRegister'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndCheck } from './EndCheck.js'
import type { EndpointEnds } from './EndpointEnds.js'

/** Interval between looks while reports settle and endpoints answer, in milliseconds. */
const LOOK_MS = 100

/** Time after the last news in which that may go on, in milliseconds. */
const SETTLING_MS = 1000

/** Interval between looks after that, in milliseconds. */
const SLOW_LOOK_MS = 500

/** Time after the last news in which the list may still tell that an endpoint has ended, in milliseconds. */
const ACTIVE_MS = 15_000

/** Interval between looks at verdicts that are over, in milliseconds. */
const EXPIRE_MS = 1000

/** What the task needs from around it. */
export interface QuarantinePorts {
  isLeader (): boolean
  readonly verdicts: VerdictRegister
  propose (command: Command): Promise<unknown>
  readonly ends: EndpointEnds
  readonly telemetry: Telemetry
}

/** Works while hosts report. */
export class QuarantineTask {
  readonly #tally = new EndTally()
  readonly #check: EndCheck
  readonly #judged: LabelledCounter
  readonly #reports: LabelledCounter
  readonly #expireTimer: NodeJS.Timeout
  #lookTimer: NodeJS.Timeout | undefined
  #newsAt = 0
  #isProposing = false
  /** Decided while a proposal was under way. */
  #waiting: Judgement[] = []

  /** @param ports - surroundings */
  constructor (private readonly ports: QuarantinePorts) {
    const { telemetry } = ports
    this.#judged = telemetry.labelledCounter('request_judgements_total', 'Judgements on requests that were at endpoints which ended', 'judgement')
    this.#reports = telemetry.labelledCounter('end_reports_total', 'Reports of requests that were lost with an endpoint, by what became of them', 'outcome')
    telemetry.gauge('requests_quarantined', 'Requests that are held back from endpoints', () => ports.verdicts.all.filter(({ state }) => state === 'quarantined').length)
    telemetry.gauge('endpoint_ends_held', 'Ends of endpoints that still count against the requests that were there', () => this.#tally.endCount)
    this.#check = new EndCheck((endpoint, hasEnded) => { this.#settle(endpoint, hasEnded) })
    this.#expireTimer = setInterval(() => { this.#expire() }, EXPIRE_MS)
  }

  /** @param server - where to register */
  register (server: RpcServer): void {
    server.handle(reportEnds, async report => this.observe(report))
  }

  /**
   * @param report - of one host
   * @returns whether it was taken
   */
  observe ({ ends, cameThrough }: ReportEndsRequest): ReportEndsResponse {
    if (!this.ports.isLeader()) {
      this.#reports.count('not-leader')
      return { isTaken: false }
    }
    const now = performance.now()
    for (const end of ends) this.#tally.observe(end, now)
    this.#reports.count('taken', ends.length)
    this.#clear(cameThrough, now)
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
      this.#tally.reset()
      return
    }
    const quietMs = now - this.#newsAt
    if (quietMs < ACTIVE_MS) this.#scheduleLook(quietMs < SETTLING_MS ? LOOK_MS : SLOW_LOOK_MS)
    this.#verify(now)
    // What is under way would be decided a second time.
    if (!this.#isProposing) this.#propose(this.#tally.judge(this.ports.verdicts, now))
  }

  #verify (now: number): void {
    const uncertain = this.#tally.uncertainEnds(this.ports.verdicts)
    this.#check.retain(name => uncertain.includes(name))
    if (uncertain.length === 0) return
    for (const [name, knowledge] of this.ports.ends.look(uncertain)) {
      if (knowledge === 'ended') this.#settle(name, true)
      else if (knowledge !== undefined) this.#check.ask(name, knowledge, now)
    }
  }

  #settle (endpoint: string, hasEnded: boolean): void {
    const now = performance.now()
    this.#tally.settle(endpoint, hasEnded, now)
    this.ports.telemetry.stateChanged('endpoint-end-checked', { endpoint, hasEnded })
    this.#wake(now)
  }

  #clear (fingerprints: readonly string[], now: number): void {
    const judgements = fingerprints.flatMap((fingerprint): Judgement[] => {
      const verdict = this.ports.verdicts.find(fingerprint)
      this.#tally.clear(fingerprint, now)
      return verdict === undefined ? [] : [{ fingerprint, service: verdict.service, judgement: 'clear', forMs: 0 }]
    })
    this.#propose(judgements)
  }

  #propose (judgements: readonly Judgement[]): void {
    if (this.#isProposing) {
      this.#waiting.push(...judgements)
      return
    }
    if (judgements.length === 0) return
    this.#isProposing = true
    for (const { fingerprint, service, judgement, forMs } of judgements) {
      this.#judged.count(judgement)
      this.ports.telemetry.stateChanged('request-judged', { fingerprint, service, judgement, forMs, ...this.#tally.describe(fingerprint) })
    }
    const finish = (): void => {
      this.#isProposing = false
      this.#wake(performance.now())
      this.#propose(this.#waiting.splice(0))
    }
    this.ports.propose({ kind: 'judge-requests', judgements: [...judgements] }).then(finish, finish)
  }

  #expire (): void {
    const { nextEndAt } = this.ports.verdicts
    if (nextEndAt === undefined || nextEndAt > Date.now() || !this.ports.isLeader()) return
    void this.ports.propose({ kind: 'expire-verdicts' })
  }
}
