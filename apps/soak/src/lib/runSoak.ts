/** Runs the soak with one seed: starts all processes, injects faults under load, waits for the recovery and collects the violations. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitUntil } from '@eelgrassmux/bench/Cluster'
import type { LoadFeature } from '@eelgrassmux/routing/features/LoadFeatures'
import { Balancer } from './Balancer.js'
import { Caller } from './Caller.js'
import { AnswersInTimeCheck } from './checks/AnswersInTimeCheck.js'
import { BrittleEndpointsStandCheck } from './checks/BrittleEndpointsStandCheck.js'
import { ConfigurationCheck } from './checks/ConfigurationCheck.js'
import { ServedAsBeforeCheck } from './checks/ServedAsBeforeCheck.js'
import { CustomersAreServedCheck } from './checks/CustomersAreServedCheck.js'
import { CutOffHostsServeCheck } from './checks/CutOffHostsServeCheck.js'
import { EndlessAnswersAreClosedCheck } from './checks/EndlessAnswersAreClosedCheck.js'
import { EvacuationsHoldCheck } from './checks/EvacuationsHoldCheck.js'
import { requestChecks } from './checks/requestChecks.js'
import { SeededRandom } from './SeededRandom.js'
import { CRASHED_BY_REQUEST_EXIT_CODE, ENDPOINT_BREAKS, FELL_OVER_EXIT_CODE, type EndpointBreak } from './standinProtocol.js'
import { ExtraCallers } from './ExtraCallers.js'
import { FaultInjector } from './FaultInjector.js'
import { planFaults, type FaultKind, type SoakShape } from './faultPlan.js'
import { planPoisonParts, planRepeatedRequests } from './planRepeatedRequests.js'
import { RepeatingCaller } from './RepeatingCaller.js'
import { RequestHistory, type Violation } from './RequestHistory.js'
import { MemoryLimit } from './MemoryLimit.js'
import { Operator } from './Operator.js'
import { SoakCluster } from './SoakCluster.js'
import { MODEL } from './soakSite.js'
import { STARTED, Timeline } from './Timeline.js'

/** Ways to break a guarantee on purpose, in addition to those of the endpoint stand-ins. */
export const PROCESS_BREAKS = ['abrupt-stop', 'forgetful-control', 'deaf-hosts', 'no-cold-rate', 'unlimited-retries', 'hosts-alone', 'connections-left-open', 'frail-hosts', 'credulous-hosts', 'hasty-hosts', 'ending-hosts', 'hoarding-hosts'] as const
export type SoakBreak = EndpointBreak | typeof PROCESS_BREAKS[number]

/** Parameters of a run. */
export interface SoakPlan {
  readonly seed: number
  /** Duration of the fault phase, in seconds. */
  readonly seconds: number
  readonly shape: SoakShape
  readonly callers: number
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number
  readonly breaks: readonly SoakBreak[]
  /** Time limit of each step of the recovery after the last fault, in milliseconds; the default is {@link RECOVERY_TIMEOUT_MS}. */
  readonly recoveryMs?: number
  /** Kinds of faults to choose from. */
  readonly kinds?: readonly FaultKind[]
  /** Number of requests that crash each endpoint that runs them and are sent repeatedly, beside a harmless one; 0 if absent. */
  readonly poisonRequests?: number
  /** Number of parts of prompts that crash the endpoints that run requests with them. */
  readonly poisonParts?: number
  /** Features for hard load that entry hosts use; none if absent. */
  readonly loadFeatures?: readonly LoadFeature[]
}

/** Result of a run. */
export interface SoakResult {
  readonly seed: number
  readonly requests: number
  /** Number of requests by status, and of those that were cut off as `cut`. */
  readonly endCounts: ReadonlyMap<string, number>
  readonly actionCount: number
  /** Most memory that was resident, by role. */
  readonly memory: string
  readonly violations: readonly Violation[]
  /** One line for each action. */
  readonly timeline: readonly string[]
  /** Log files of the processes that were involved in violations. */
  readonly logFiles: readonly string[]
}

/** Default time limit of each step of the recovery, in milliseconds: far more than the product needs, even if the processors are busy. */
const RECOVERY_TIMEOUT_MS = 60_000

/** Offsets that keep the random sequences of the faults, the operator and the callers apart. */
const OPERATOR_SEED_OFFSET = 500_000
const CALLER_SEED_OFFSET = 1_000_000
const REPEATING_SEED_OFFSET = 2_000_000
const EXTRA_SEED_OFFSET = 4_000_000

/** Maximum number of repeated requests in a run; keeps the random sequences of repeating callers apart between seeds. */
const MAX_REPEATED_REQUESTS = 100

/**
 * @param plan - parameters of the run
 * @returns the result; the log files are kept if a guarantee was broken
 */
export async function runSoak (plan: SoakPlan): Promise<SoakResult> {
  const run = new SoakRun(plan, await mkdtemp(join(tmpdir(), `eelgrassmux-soak-${plan.seed}-`)))
  return await run.play()
}

class SoakRun {
  readonly #timeline = new Timeline()
  readonly #evacuations = new EvacuationsHoldCheck()
  readonly #customers = new CustomersAreServedCheck()
  readonly #cutOffHosts = new CutOffHostsServeCheck()
  readonly #brittleEndpoints = new BrittleEndpointsStandCheck()
  readonly #crowds = new ServedAsBeforeCheck('crowded-hosts-serve', this.#timeline)
  readonly #soundEndpoints = new ServedAsBeforeCheck('sound-endpoints-serve', this.#timeline)
  readonly #answersInTime = new AnswersInTimeCheck(this.#timeline)
  readonly #endlessAnswers = new EndlessAnswersAreClosedCheck(this.#timeline, id => this.#history.request(id)?.work.kind === 'plain')
  readonly #history: RequestHistory
  readonly #configuration: ConfigurationCheck
  readonly #cluster: SoakCluster
  readonly #memoryLimit: MemoryLimit
  readonly #operator: Operator
  readonly #balancer: Balancer
  readonly #callers: Array<Caller | RepeatingCaller>
  readonly #extraCallers: ExtraCallers

  constructor (private readonly plan: SoakPlan, private readonly folder: string) {
    const { seed, shape, graceMs, breaks } = plan
    const hasColdReturns = plan.kinds?.includes('cold-return') ?? false
    this.#history = new RequestHistory(this.#timeline, [...requestChecks(hasColdReturns), this.#evacuations, this.#customers, this.#cutOffHosts, this.#brittleEndpoints, this.#endlessAnswers, this.#crowds, this.#soundEndpoints, this.#answersInTime])
    this.#configuration = new ConfigurationCheck(this.#history, this.#timeline)
    this.#cluster = new SoakCluster({
      shape,
      folder,
      graceMs,
      isForgetful: breaks.includes('forgetful-control'),
      isDeaf: breaks.includes('deaf-hosts'),
      areHostsFrail: breaks.includes('frail-hosts'),
      areHostsCredulous: breaks.includes('credulous-hosts'),
      areHostsHasty: breaks.includes('hasty-hosts'),
      areConnectionsLeftOpen: breaks.includes('connections-left-open'),
      doHostsHoard: breaks.includes('hoarding-hosts'),
      doHostsEnd: breaks.includes('ending-hosts'),
      areHostsAlone: breaks.includes('hosts-alone'),
      hasColdReturns,
      loadFeatures: plan.loadFeatures ?? [],
      hasUnlimitedRetries: breaks.includes('unlimited-retries'),
      onEndless: line => { this.#endlessAnswers.record(line) },
      onTurnedAway: line => { this.#history.recordTurnedAway(line) },
      onRejection: line => { this.#history.recordRejection(line) },
      onRun: line => { this.#history.recordRun(line) },
      onStart: label => { this.#timeline.record(label, STARTED, false) },
      onEnd: (label, code) => { this.#recordProcessEnd(label, code) },
      onFailedStart: (label, error) => { this.#recordFailedStart(label, error) }
    })
    this.#memoryLimit = new MemoryLimit(this.#cluster, this.#timeline)
    this.#balancer = new Balancer(this.#cluster.entries)
    this.#operator = new Operator(this.#cluster.controls, new SeededRandom(seed + OPERATOR_SEED_OFFSET), this.#configuration, hasColdReturns && !breaks.includes('no-cold-rate'))
    const context = {
      balancer: this.#balancer,
      history: this.#history,
      configuration: this.#configuration,
      breaks: ENDPOINT_BREAKS.filter(name => breaks.includes(name))
    }
    this.#extraCallers = new ExtraCallers(EXTRA_SEED_OFFSET + seed, context)
    const plainCallers = Array.from({ length: plan.callers }, (_, index) =>
      new Caller(`r${index}`, SeededRandom.ofNeighbour(CALLER_SEED_OFFSET + seed * plan.callers + index), context))
    const repeatingCallers = [...planRepeatedRequests(seed, plan.poisonRequests ?? 0), ...planPoisonParts(seed, plan.poisonParts ?? 0)].map((repeated, index) =>
      new RepeatingCaller(repeated, SeededRandom.ofNeighbour(REPEATING_SEED_OFFSET + seed * MAX_REPEATED_REQUESTS + index), context))
    this.#callers = [...plainCallers, ...repeatingCallers]
  }

  async play (): Promise<SoakResult> {
    try {
      await this.#cluster.start()
      this.#balancer.start()
      this.#memoryLimit.start()
      await this.#operator.putSite()
      await waitUntil(async () => this.#balancer.areAllReady, RECOVERY_TIMEOUT_MS)
      await this.#injectFaults()
    } finally {
      this.#balancer.close()
      this.#memoryLimit.close()
      await this.#cluster.stop()
    }
    this.#history.settleAll()
    const result = this.#result()
    if (result.violations.length === 0) await rm(this.folder, { recursive: true, force: true })
    return result
  }

  #recordProcessEnd (label: string, code: number | null): void {
    this.#timeline.record(label, `exited with ${code ?? 'a signal'}`, false)
    if (code === CRASHED_BY_REQUEST_EXIT_CODE) {
      this.#timeline.record(label, 'crashed by a request', true)
      return
    }
    if (code === FELL_OVER_EXIT_CODE) {
      this.#timeline.record(label, 'fell over', true)
      this.#brittleEndpoints.recordFall(label)
      return
    }
    const isExpected = code === null ? this.#timeline.wasKilled(label) : code === 0 && this.#timeline.stopOf(label) !== undefined
    if (!isExpected) this.#history.recordViolation('ends-when-told', `${label} exited with ${code ?? 'a signal that is no planned fault'}`, [label])
  }

  /** The soak disturbs no process that is starting, so nothing explains its end. */
  #recordFailedStart (label: string, error: unknown): void {
    this.#timeline.record(label, 'ended while it started', false)
    this.#history.recordViolation('ends-when-told', `${label} did not start: ${String(error)}`, [label])
  }

  async #injectFaults (): Promise<void> {
    const { seed, seconds, shape, graceMs, breaks, kinds } = this.plan
    const calling = Promise.all(this.#callers.map(async caller => { await caller.run() }))
    const reading = this.#operator.readRepeatedly()
    const injector = new FaultInjector(this.#cluster, this.#operator, this.#timeline, { evacuations: this.#evacuations, customers: this.#customers, cutOffHosts: this.#cutOffHosts, brittleEndpoints: this.#brittleEndpoints, crowds: this.#crowds, soundEndpoints: this.#soundEndpoints, configuration: this.#configuration, answersInTime: this.#answersInTime }, { extraCallers: this.#extraCallers, balancer: this.#balancer }, { graceMs, isAbrupt: breaks.includes('abrupt-stop') })
    await injector.run(planFaults(seed, seconds, shape, kinds))
    this.#cluster.heal()
    this.#timeline.record('soak', 'the last fault has ended', false)
    for (const caller of this.#callers) caller.stop()
    this.#operator.stop()
    await Promise.all([calling, reading])
    await this.#recover()
  }

  async #recover (): Promise<void> {
    await this.#waitFor('all entry hosts are ready', async () => this.#balancer.areAllReady)
    await this.#waitFor('the site can be read', async () => await this.#operator.readOnce())
    await this.#waitFor('all engines have the newest weights', async () => this.#haveEnginesNewestWeights())
  }

  async #waitFor (what: string, condition: () => Promise<boolean>): Promise<void> {
    try {
      await waitUntil(condition, this.plan.recoveryMs ?? RECOVERY_TIMEOUT_MS)
    } catch (error) {
      this.#history.recordViolation('recovers', `timed out waiting until ${what} (${String(error)})`, this.#cluster.entries.map(slot => slot.label))
    }
  }

  #haveEnginesNewestWeights (): boolean {
    const loaded = [...this.#cluster.endpointList.endpoints].flatMap(({ models }) => models).filter(({ model }) => model === MODEL)
    return loaded.every(({ version }) => version >= this.#operator.newestWeightsVersion)
  }

  #result (): SoakResult {
    const { violations } = this.#history
    const endCounts = new Map<string, number>()
    for (const { end } of this.#history.outcomes) {
      const name = end.kind === 'cut' ? 'cut' : String(end.status)
      endCounts.set(name, (endCounts.get(name) ?? 0) + 1)
    }
    const involved = new Set(violations.flatMap(({ processes }) => processes))
    return {
      seed: this.plan.seed,
      requests: this.#history.requestCount,
      endCounts,
      actionCount: this.#timeline.entries.length,
      memory: this.#memoryLimit.describe(),
      violations,
      timeline: this.#timeline.describe(),
      logFiles: [...involved].map(label => this.#cluster.logFile(label))
    }
  }
}
