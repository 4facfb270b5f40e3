/** One seeded run: start, faults under load, recovery, and what it found. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitUntil } from '@eelgrassmux/bench/Cluster'
import { Balancer } from './Balancer.js'
import { Caller } from './Caller.js'
import { ConfigurationCheck } from './checks/ConfigurationCheck.js'
import { EvacuationsHoldCheck } from './checks/EvacuationsHoldCheck.js'
import { requestChecks } from './checks/requestChecks.js'
import { Draws } from './Draws.js'
import { CRASHED_BY_REQUEST_CODE, ENDPOINT_BREAKS, type EndpointBreak } from './endpointWork.js'
import { FaultDriver } from './FaultDriver.js'
import { planFaults, type FaultKind, type SoakShape } from './faultPlan.js'
import { planRepeatedRequests } from './planRepeatedRequests.js'
import { RepeatingCaller } from './RepeatingCaller.js'
import { Ledger, type Violation } from './Ledger.js'
import { Operator } from './Operator.js'
import { SoakCluster } from './SoakCluster.js'
import { MODEL } from './soakSite.js'
import { TimeLine } from './TimeLine.js'

/** Ways to break a promise on purpose, beyond those of the endpoints. */
export const PROCESS_BREAKS = ['abrupt-stop', 'forgetful-control', 'deaf-hosts', 'no-cold-rate'] as const
export type SoakBreak = EndpointBreak | typeof PROCESS_BREAKS[number]

/** What a run is to do. */
export interface SoakPlan {
  readonly seed: number
  /** How long new faults come. */
  readonly seconds: number
  readonly shape: SoakShape
  readonly callers: number
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number
  readonly breaks: readonly SoakBreak[]
  /** Time in which everything is in order again after the last fault, in milliseconds. */
  readonly recoveryMs?: number
  /** Kinds of faults to draw from. */
  readonly kinds?: readonly FaultKind[]
  /** Requests that crash each endpoint that runs them and come again and again, beside one that comes as often and ends none; 0 if absent. */
  readonly poisonRequests?: number
}

/** What a run has shown. */
export interface SoakResult {
  readonly seed: number
  readonly requests: number
  /** Ends of requests by status, `cut` for those without one. */
  readonly ends: ReadonlyMap<string, number>
  readonly acts: number
  readonly violations: readonly Violation[]
  /** One line for each act. */
  readonly timeLine: readonly string[]
  /** Logs of the processes that broken promises involve. */
  readonly logFiles: readonly string[]
}

/** Usual time for the recovery, in milliseconds: far above what the product needs on a busy machine. */
const RECOVERY_MS = 60_000

/** Tells apart the draws of faults, callers and the operator. */
const OPERATOR_SEED = 500_000
const CALLER_SEED = 1_000_000
const REPEATING_SEED = 2_000_000

/** Keeps the draws of repeated requests of two seeds apart. */
const MOST_REPEATED = 100

/**
 * @param plan - what to do
 * @returns what was seen; the logs stay if a promise was broken
 */
export async function runSoak (plan: SoakPlan): Promise<SoakResult> {
  const run = new SoakRun(plan, await mkdtemp(join(tmpdir(), `eelgrassmux-soak-${plan.seed}-`)))
  return await run.play()
}

class SoakRun {
  readonly #timeLine = new TimeLine()
  readonly #evacuations = new EvacuationsHoldCheck()
  readonly #ledger: Ledger
  readonly #configuration: ConfigurationCheck
  readonly #cluster: SoakCluster
  readonly #operator: Operator
  readonly #balancer: Balancer
  readonly #callers: Array<Caller | RepeatingCaller>

  constructor (private readonly plan: SoakPlan, private readonly folder: string) {
    const { seed, shape, graceMs, breaks } = plan
    const hasColdReturns = plan.kinds?.includes('cold-return') ?? false
    this.#ledger = new Ledger(this.#timeLine, [...requestChecks(hasColdReturns), this.#evacuations])
    this.#configuration = new ConfigurationCheck(this.#ledger)
    this.#cluster = new SoakCluster({
      shape,
      folder,
      graceMs,
      isForgetful: breaks.includes('forgetful-control'),
      isDeaf: breaks.includes('deaf-hosts'),
      hasColdReturns,
      onRejection: line => { this.#ledger.noteRejection(line) },
      onRun: line => { this.#ledger.noteRun(line) },
      onStart: label => { this.#timeLine.note(label, 'started', false) },
      onEnd: (label, code) => { this.#noteEnd(label, code) }
    })
    this.#balancer = new Balancer(this.#cluster.entries)
    this.#operator = new Operator(this.#cluster.controls, new Draws(seed + OPERATOR_SEED), this.#configuration, hasColdReturns && !breaks.includes('no-cold-rate'))
    const surroundings = {
      balancer: this.#balancer,
      ledger: this.#ledger,
      configuration: this.#configuration,
      breaks: ENDPOINT_BREAKS.filter(name => breaks.includes(name))
    }
    const usual = Array.from({ length: plan.callers }, (_, index) =>
      new Caller(`r${index}`, new Draws(CALLER_SEED + seed * plan.callers + index), surroundings))
    const repeating = planRepeatedRequests(seed, plan.poisonRequests ?? 0).map((repeated, index) =>
      new RepeatingCaller(repeated, new Draws(REPEATING_SEED + seed * MOST_REPEATED + index), surroundings))
    this.#callers = [...usual, ...repeating]
  }

  async play (): Promise<SoakResult> {
    try {
      await this.#cluster.start()
      this.#balancer.start()
      await this.#operator.putSite()
      await waitUntil(async () => this.#balancer.isComplete, RECOVERY_MS)
      await this.#exercise()
    } finally {
      this.#balancer.close()
      await this.#cluster.stop()
    }
    this.#ledger.settleAll()
    const result = this.#result()
    if (result.violations.length === 0) await rm(this.folder, { recursive: true, force: true })
    return result
  }

  #noteEnd (label: string, code: number | null): void {
    this.#timeLine.note(label, `ended with ${code ?? 'a signal'}`, false)
    if (code === CRASHED_BY_REQUEST_CODE) {
      this.#timeLine.note(label, 'ended by a request', true)
      return
    }
    const isExpected = code === null ? this.#timeLine.wasKilled(label) : code === 0 && this.#timeLine.stopOf(label) !== undefined
    if (!isExpected) this.#ledger.noteViolation('ends-when-told', `${label} ended with ${code ?? 'a signal that nobody sent'}`, [label])
  }

  async #exercise (): Promise<void> {
    const { seed, seconds, shape, graceMs, breaks, kinds } = this.plan
    const calling = Promise.all(this.#callers.map(async caller => { await caller.run() }))
    const reading = this.#operator.readOn()
    const driver = new FaultDriver(this.#cluster, this.#operator, this.#timeLine, this.#evacuations, { graceMs, isAbrupt: breaks.includes('abrupt-stop') })
    await driver.run(planFaults(seed, seconds, shape, kinds))
    this.#cluster.heal()
    this.#timeLine.note('soak', 'the last fault is over', false)
    for (const caller of this.#callers) caller.stop()
    this.#operator.stop()
    await Promise.all([calling, reading])
    await this.#recover()
  }

  async #recover (): Promise<void> {
    await this.#expect('all entry hosts are ready', async () => this.#balancer.isComplete)
    await this.#expect('the site can be read', async () => await this.#operator.readOnce())
    await this.#expect('all engines have the newest weights', async () => this.#haveNewestWeights())
    const failure = this.#cluster.failure()
    if (failure !== undefined) this.#ledger.noteViolation('recovers', failure.message, [])
  }

  async #expect (what: string, condition: () => Promise<boolean>): Promise<void> {
    try {
      await waitUntil(condition, this.plan.recoveryMs ?? RECOVERY_MS)
    } catch (error) {
      this.#ledger.noteViolation('recovers', `not so: ${what} (${String(error)})`, this.#cluster.entries.map(slot => slot.label))
    }
  }

  #haveNewestWeights (): boolean {
    const held = [...this.#cluster.list.endpoints].flatMap(({ models }) => models).filter(({ model }) => model === MODEL)
    return held.every(({ version }) => version >= this.#operator.newestWeights)
  }

  #result (): SoakResult {
    const { violations } = this.#ledger
    const ends = new Map<string, number>()
    for (const { end } of this.#ledger.outcomes) {
      const name = end.kind === 'cut' ? 'cut' : String(end.status)
      ends.set(name, (ends.get(name) ?? 0) + 1)
    }
    const involved = new Set(violations.flatMap(({ processes }) => processes))
    return {
      seed: this.plan.seed,
      requests: this.#ledger.requestCount,
      ends,
      acts: this.#timeLine.entries.length,
      violations,
      timeLine: this.#timeLine.describe(),
      logFiles: [...involved].map(label => this.#cluster.logFile(label))
    }
  }
}
