/** One seeded run: start, faults under load, recovery, and what it found. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { until } from '@eelgrassmux/bench/Cluster'
import { Balancer } from './Balancer.js'
import { Caller } from './Caller.js'
import { ConfigurationCheck } from './checks/ConfigurationCheck.js'
import { EvacuationsHoldCheck } from './checks/EvacuationsHoldCheck.js'
import { requestChecks } from './checks/requestChecks.js'
import { SeededRandom } from './SeededRandom.js'
import { CRASHED_BY_REQUEST_EXIT_CODE, ENDPOINT_BREAKS, type EndpointBreak } from './standinProtocol.js'
import { FaultInjector } from './FaultInjector.js'
import { planFaults, type FaultKind, type SoakShape } from './faultPlan.js'
import { planRepeatedRequests } from './planRepeatedRequests.js'
import { RepeatingCaller } from './RepeatingCaller.js'
import { RequestHistory, type Violation } from './RequestHistory.js'
import { Operator } from './Operator.js'
import { SoakCluster } from './SoakCluster.js'
import { MODEL } from './soakSite.js'
import { Timeline } from './Timeline.js'

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
  readonly actionCount: number
  readonly violations: readonly Violation[]
  /** One line for each act. */
  readonly timeline: readonly string[]
  /** Logs of the processes that broken promises involve. */
  readonly logFiles: readonly string[]
}

/** Usual time for the recovery, in milliseconds: far above what the product needs on a busy machine. */
const RECOVERY_TIMEOUT_MS = 60_000

/** Tells apart the draws of faults, callers and the operator. */
const OPERATOR_SEED_OFFSET = 500_000
const CALLER_SEED_OFFSET = 1_000_000
const REPEATING_SEED_OFFSET = 2_000_000

/** Keeps the draws of repeated requests of two seeds apart. */
const MAX_REPEATED_REQUESTS = 100

/**
 * @param plan - what to do
 * @returns what was seen; the logs stay if a promise was broken
 */
export async function runSoak (plan: SoakPlan): Promise<SoakResult> {
  const run = new SoakRun(plan, await mkdtemp(join(tmpdir(), `eelgrassmux-soak-${plan.seed}-`)))
  return await run.play()
}

class SoakRun {
  readonly #timeline = new Timeline()
  readonly #evacuations = new EvacuationsHoldCheck()
  readonly #history: RequestHistory
  readonly #configuration: ConfigurationCheck
  readonly #cluster: SoakCluster
  readonly #operator: Operator
  readonly #balancer: Balancer
  readonly #callers: Array<Caller | RepeatingCaller>

  constructor (private readonly plan: SoakPlan, private readonly folder: string) {
    const { seed, shape, graceMs, breaks } = plan
    const hasColdReturns = plan.kinds?.includes('cold-return') ?? false
    this.#history = new RequestHistory(this.#timeline, [...requestChecks(hasColdReturns), this.#evacuations])
    this.#configuration = new ConfigurationCheck(this.#history)
    this.#cluster = new SoakCluster({
      shape,
      folder,
      graceMs,
      isForgetful: breaks.includes('forgetful-control'),
      isDeaf: breaks.includes('deaf-hosts'),
      hasColdReturns,
      onRejection: line => { this.#history.recordRejection(line) },
      onRun: line => { this.#history.recordRun(line) },
      onStart: label => { this.#timeline.record(label, 'started', false) },
      onEnd: (label, code) => { this.#recordProcessEnd(label, code) }
    })
    this.#balancer = new Balancer(this.#cluster.entries)
    this.#operator = new Operator(this.#cluster.controls, new SeededRandom(seed + OPERATOR_SEED_OFFSET), this.#configuration, hasColdReturns && !breaks.includes('no-cold-rate'))
    const context = {
      balancer: this.#balancer,
      history: this.#history,
      configuration: this.#configuration,
      breaks: ENDPOINT_BREAKS.filter(name => breaks.includes(name))
    }
    const plainCallers = Array.from({ length: plan.callers }, (_, index) =>
      new Caller(`r${index}`, new SeededRandom(CALLER_SEED_OFFSET + seed * plan.callers + index), context))
    const repeatingCallers = planRepeatedRequests(seed, plan.poisonRequests ?? 0).map((repeated, index) =>
      new RepeatingCaller(repeated, new SeededRandom(REPEATING_SEED_OFFSET + seed * MAX_REPEATED_REQUESTS + index), context))
    this.#callers = [...plainCallers, ...repeatingCallers]
  }

  async play (): Promise<SoakResult> {
    try {
      await this.#cluster.start()
      this.#balancer.start()
      await this.#operator.putSite()
      await until(async () => this.#balancer.areAllReady, RECOVERY_TIMEOUT_MS)
      await this.#injectFaults()
    } finally {
      this.#balancer.close()
      await this.#cluster.stop()
    }
    this.#history.settleAll()
    const result = this.#result()
    if (result.violations.length === 0) await rm(this.folder, { recursive: true, force: true })
    return result
  }

  #recordProcessEnd (label: string, code: number | null): void {
    this.#timeline.record(label, `ended with ${code ?? 'a signal'}`, false)
    if (code === CRASHED_BY_REQUEST_EXIT_CODE) {
      this.#timeline.record(label, 'ended by a request', true)
      return
    }
    const isExpected = code === null ? this.#timeline.wasKilled(label) : code === 0 && this.#timeline.stopOf(label) !== undefined
    if (!isExpected) this.#history.recordViolation('ends-when-told', `${label} ended with ${code ?? 'a signal that nobody sent'}`, [label])
  }

  async #injectFaults (): Promise<void> {
    const { seed, seconds, shape, graceMs, breaks, kinds } = this.plan
    const calling = Promise.all(this.#callers.map(async caller => { await caller.run() }))
    const reading = this.#operator.readRepeatedly()
    const injector = new FaultInjector(this.#cluster, this.#operator, this.#timeline, this.#evacuations, { graceMs, isAbrupt: breaks.includes('abrupt-stop') })
    await injector.run(planFaults(seed, seconds, shape, kinds))
    this.#cluster.heal()
    this.#timeline.record('soak', 'the last fault is over', false)
    for (const caller of this.#callers) caller.stop()
    this.#operator.stop()
    await Promise.all([calling, reading])
    await this.#recover()
  }

  async #recover (): Promise<void> {
    await this.#waitFor('all entry hosts are ready', async () => this.#balancer.areAllReady)
    await this.#waitFor('the site can be read', async () => await this.#operator.readOnce())
    await this.#waitFor('all engines have the newest weights', async () => this.#haveEnginesNewestWeights())
    const failure = this.#cluster.failure()
    if (failure !== undefined) this.#history.recordViolation('recovers', failure.message, [])
  }

  async #waitFor (what: string, condition: () => Promise<boolean>): Promise<void> {
    try {
      await until(condition, this.plan.recoveryMs ?? RECOVERY_TIMEOUT_MS)
    } catch (error) {
      this.#history.recordViolation('recovers', `not so: ${what} (${String(error)})`, this.#cluster.entries.map(slot => slot.label))
    }
  }

  #haveEnginesNewestWeights (): boolean {
    const held = [...this.#cluster.endpointList.endpoints].flatMap(({ models }) => models).filter(({ model }) => model === MODEL)
    return held.every(({ version }) => version >= this.#operator.newestWeightsVersion)
  }

  #result (): SoakResult {
    const { violations } = this.#history
    const ends = new Map<string, number>()
    for (const { end } of this.#history.outcomes) {
      const name = end.kind === 'cut' ? 'cut' : String(end.status)
      ends.set(name, (ends.get(name) ?? 0) + 1)
    }
    const involved = new Set(violations.flatMap(({ processes }) => processes))
    return {
      seed: this.plan.seed,
      requests: this.#history.requestCount,
      ends,
      actionCount: this.#timeline.entries.length,
      violations,
      timeline: this.#timeline.describe(),
      logFiles: [...involved].map(label => this.#cluster.logFile(label))
    }
  }
}
