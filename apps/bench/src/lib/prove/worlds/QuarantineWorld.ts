/**
 * Entry hosts send requests to endpoints. Some requests crash every endpoint that runs them and are repeated
 * through any host; others come once each, and crash endpoints because of a part that they share. Control hosts are killed and frozen, entry hosts restart, racks fail and connections break.
 * Checks that poison requests stop being sent and that no other request is quarantined.
 */
import type { PersistentState, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { quarantineMessage } from '@eelgrassmux/control/quarantine/quarantineMessage'
import { CrashEvidence } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import { CrashCorrelator } from '@eelgrassmux/routing/quarantine/CrashCorrelator'
import { isPartFingerprint, partFingerprint } from '@eelgrassmux/routing/quarantine/partFingerprint'
import type { CrashReport } from '@eelgrassmux/routing/quarantine/crashReport'
import type { QuarantineDecision } from '@eelgrassmux/schema/quarantineEntry'
import { ViewFollower } from '@eelgrassmux/view/ViewFollower'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'
import { ALL_MECHANISMS, SimulatedReplica } from './SimulatedReplica.js'
import { SimulatedPool, type PoolRequest, type PoolRun } from './SimulatedPool.js'

/** Size, load and scheduled losses of the world. */
export interface QuarantineShape {
  readonly hosts: number
  readonly endpoints: number
  readonly requestsPerSecond: number
  readonly poison: number
  /** Number of parts of prompts that crash endpoints. */
  readonly poisonParts: number
  /** Virtual duration of the run, in milliseconds. */
  readonly durationMs: number
  /** Time at which the leading control host is killed and not restarted, in milliseconds; never if absent. */
  readonly leaderLostAtMs?: number
  /** Time at which all entry hosts restart at once, in milliseconds; never if absent. */
  readonly hostsRestartAtMs?: number
}

export const SMALL_SHAPE: QuarantineShape = { hosts: 8, endpoints: 13, requestsPerSecond: 150, poison: 1, poisonParts: 1, durationMs: 40_000 }

/** Numbers of requests and of parts that crash endpoints at the same time. */
const CAUSES = [{ poison: 2, poisonParts: 0 }, { poison: 1, poisonParts: 1 }, { poison: 0, poisonParts: 2 }]

const REPLICAS = 3

/** Safety limit for the number of events in a run. */
const MAX_EVENTS = 2_000_000

/** Crashes after which a request and a part must be quarantined, time in milliseconds for the decision to reach all hosts, and number of runs that may still start later. */
const DETECTION_CRASHES = 3
const PART_DETECTION_CRASHES = 5
const PROPAGATION_MS = 3000
const MAX_LATE_RUNS = 3

/** Interval of reports, mean interval of view requests, and interval of the decisions of the leader, in milliseconds. */
const REPORT_INTERVAL_MS = 200
const MEAN_VIEW_INTERVAL_MS = 200
const DECISION_INTERVAL_MS = 100

/** Bounds of the interval between faults, and maximum downtime or freeze of a control host, in milliseconds. */
const MIN_FAULT_INTERVAL_MS = 1500
const MAX_FAULT_INTERVAL_MS = 6000
const MAX_RESTART_DELAY_MS = 1000

/** Number of parts that sound requests share with some others, next to the one that all of them have. */
const SUBJECTS = 40

/** Longest time until a sound request begins to answer, in milliseconds. */
const MAX_FIRST_EVENT_MS = 250

/** Bounds of the interval between requests with a part that crashes endpoints, and of the pause after which they come again, in milliseconds. */
const MIN_PART_INTERVAL_MS = 100
const MAX_PART_INTERVAL_MS = 900
const MAX_PART_PAUSE_MS = 6000

/** Time before the first request that crashes endpoints, in milliseconds; hosts know most parts of sound requests by then. */
const WARM_UP_MS = 4000

/** Number of endpoints in a rack. */
const RACK_SIZE = 3

/** Number of times that a caller repeats a lost request. */
const MAX_REPEATS = 2

interface SimulatedHost {
  readonly name: string
  incarnation: number
  startedAt: number
  evidence: CrashEvidence
  completed: Set<string>
  follower: ViewFollower
  hasUnreported: boolean
  reportedTo: string | undefined
  /** Suspected fingerprints that the host has looked at. */
  checkedSuspicions: Set<string>
}

interface SimulatedLeader {
  readonly replica: SimulatedReplica
  readonly correlator: CrashCorrelator
  isProposing: boolean
}

/** Checks that poison requests are quarantined and that other requests are served. */
export class QuarantineWorld implements World {
  readonly #replicas: SimulatedLeader[]
  readonly #hosts: SimulatedHost[]
  readonly #pool: SimulatedPool
  readonly #crashes = new Map<string, number[]>()
  readonly #lateRuns = new Map<string, number>()
  #controlDisturbedAt = Number.NEGATIVE_INFINITY
  #nextRequest = 0

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   * @param shape - size, load and scheduled losses
   */
  constructor (
    private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined, private readonly shape: QuarantineShape = { ...SMALL_SHAPE, ...simulation.pickFrom(CAUSES) }
  ) {
    const voters = Array.from({ length: REPLICAS }, (_, index): Replica => ({ id: `control-${index}`, address: `control-${index}` }))
    const disk: PersistentState = { term: 1, votedFor: undefined, snapshot: undefined, entries: [{ kind: 'membership', index: 1, term: 1, membership: { voters, learners: [] } }] }
    this.#replicas = voters.map(self => ({ replica: this.#newReplica(self, disk), correlator: new CrashCorrelator(), isProposing: false }))
    this.#hosts = Array.from({ length: shape.hosts }, (_, index) => newHost(`host-${index}`))
    this.#pool = new SimulatedPool(simulation, shape.endpoints)
  }

  async run (): Promise<void> {
    for (const host of this.#hosts) {
      this.#reportLoop(host)
      this.#viewLoop(host)
    }
    for (const leader of this.#replicas) this.#decisionLoop(leader)
    this.#trafficLoop()
    // This request runs on most endpoints at any time, so that most crashes interrupt it although it causes none of them.
    this.#repeatLoop(this.#newRequest(false, 100, 400), 5, 20)
    this.simulation.schedule(WARM_UP_MS, () => {
      for (let index = 0; index < this.shape.poison; index += 1) this.#repeatLoop(this.#newRequest(true, 20, 200), 200, 1500)
      for (let index = 0; index < this.shape.poisonParts; index += 1) this.#partLoop(partNamed(`poison-${index}`))
    })
    this.#faultLoop()
    this.#scheduleLosses()
    await this.simulation.run({ events: MAX_EVENTS, until: this.shape.durationMs })
  }

  // --- Requests ---

  #newRequest (isPoison: boolean, leastMs: number, mostMs: number, poisonPart?: string): PoolRequest {
    this.#nextRequest += 1
    const subject = partNamed(`subject-${this.simulation.pick(SUBJECTS)}`)
    const sharedParts = [partNamed('all'), subject]
    return {
      fingerprint: this.#nextRequest.toString(16).padStart(32, '0'),
      isPoison,
      parts: poisonPart === undefined ? sharedParts : this.simulation.pickFrom([[partNamed('all'), poisonPart], [poisonPart, subject], [partNamed('all'), poisonPart, subject]]),
      firstEventMs: isPoison ? Number.POSITIVE_INFINITY : this.simulation.random() * MAX_FIRST_EVENT_MS,
      durationMs: () => this.#randomBetween(leastMs, mostMs)
    }
  }

  /** Sends requests that have nothing but shared parts in common, with pauses after which they come again. */
  #partLoop (part: string): void {
    const pauseMs = this.simulation.chance(0.03) ? this.simulation.random() * MAX_PART_PAUSE_MS : 0
    this.simulation.schedule(pauseMs + this.#randomBetween(MIN_PART_INTERVAL_MS, MAX_PART_INTERVAL_MS), () => {
      this.#partLoop(part)
      this.#send(this.#newRequest(true, 20, 200, part), this.simulation.pick(2), part)
    })
  }

  #randomBetween (min: number, max: number): number {
    return min + this.simulation.random() * (max - min)
  }

  /** Sends distinct requests, each of which callers repeat only when it is lost. */
  #trafficLoop (): void {
    this.simulation.schedule(-Math.log(1 - this.simulation.random()) * 1000 / this.shape.requestsPerSecond, () => {
      this.#trafficLoop()
      this.#send(this.#newRequest(false, 50, 3000), MAX_REPEATS)
    })
  }

  #repeatLoop (request: PoolRequest, leastMs: number, mostMs: number): void {
    this.simulation.schedule(this.#randomBetween(leastMs, mostMs), () => {
      this.#repeatLoop(request, leastMs, mostMs)
      this.#send(request, 0)
    })
  }

  /** @param cause - what of the request crashes endpoints, if it does */
  #send (request: PoolRequest, repeats: number, cause = request.fingerprint): void {
    const host = this.simulation.pickFrom(this.#hosts)
    // A host without a view serves no requests.
    if (host.follower.viewRevision === 0) return
    const isQuarantined = [request.fingerprint, ...request.parts].some(fingerprint => host.follower.quarantine.find(fingerprint)?.state === 'quarantined')
    if (isQuarantined) {
      if (request.isPoison) this.recorder.check('poison-requests-stop', true, () => '')
      this.recorder.check('bystanders-are-served', request.isPoison, () => `${request.fingerprint} ended no endpoint and is quarantined at ${host.name}`)
      return
    }
    if (request.isPoison) this.#checkPoison(host, cause)
    const { incarnation } = host
    this.#pool.run(request, {
      onProgress: run => { if (host.incarnation === incarnation) this.#recordSoundParts(host, run) },
      onCompleted: run => { if (host.incarnation === incarnation) this.#recordCompletion(host, run) },
      onLost: run => {
        if (request.isPoison) this.#recordCrash(cause, run)
        if (host.incarnation === incarnation) this.#recordLoss(host, run)
        if (repeats > 0) this.simulation.schedule(this.#randomBetween(0, 300), () => { this.#send(request, repeats - 1, cause) })
      }
    })
  }

  #recordCompletion (host: SimulatedHost, run: PoolRun): void {
    const { request } = run
    this.recorder.check('bystanders-are-served', true, () => '')
    this.#recordSoundParts(host, run)
    if (host.follower.quarantine.find(request.fingerprint) !== undefined) this.#reportCompletion(host, request.fingerprint)
  }

  #recordSoundParts (host: SimulatedHost, { request }: PoolRun): void {
    for (const part of request.parts) {
      host.evidence.recordSoundPart(part, this.simulation.now())
      if (host.follower.quarantine.find(part) !== undefined) this.#reportCompletion(host, part)
    }
  }

  #reportCompletion (host: SimulatedHost, fingerprint: string): void {
    host.completed.add(fingerprint)
    host.evidence.forget(fingerprint)
    host.hasUnreported = true
  }

  #recordLoss (host: SimulatedHost, { request, endpoint, startedAt }: PoolRun): void {
    const now = this.simulation.now()
    const ranMs = now - startedAt
    host.evidence.record({ fingerprint: request.fingerprint, service: 'pool', endpoint, ranMs }, now)
    host.hasUnreported = true
    if (ranMs >= request.firstEventMs) return
    for (const part of request.parts) {
      const reportedFrom = host.evidence.recordPart({ fingerprint: part, service: 'pool', endpoint, ranMs }, now)
      this.simulation.schedule(reportedFrom - now, () => { host.hasUnreported = true })
    }
  }

  #recordCrash (cause: string, { endpoint }: PoolRun): void {
    if (!this.#pool.hasCrashed(endpoint)) return
    this.#crashes.set(cause, [...this.#crashes.get(cause) ?? [], this.simulation.now()])
  }

  /** Counts late runs of a poison request. Runs shortly after a restart of the host or a fault of the control hosts are not counted, because the decision needs time to propagate. */
  #checkPoison (host: SimulatedHost, cause: string): void {
    const now = this.simulation.now()
    const crashes = isPartFingerprint(cause) ? PART_DETECTION_CRASHES : DETECTION_CRASHES
    const detectedAt = this.#crashes.get(cause)?.[crashes - 1]
    if (detectedAt === undefined || now - detectedAt <= PROPAGATION_MS || now - host.startedAt <= PROPAGATION_MS || now - this.#controlDisturbedAt <= PROPAGATION_MS) return
    const lateRuns = (this.#lateRuns.get(cause) ?? 0) + 1
    this.#lateRuns.set(cause, lateRuns)
    this.recorder.check('poison-requests-stop', lateRuns <= MAX_LATE_RUNS, () => `${cause} is sent by ${host.name} for the ${lateRuns}. time, ${Math.round(now - detectedAt)} ms after it had ended ${crashes} endpoints`)
  }

  // --- Reports and views ---

  #reportLoop (host: SimulatedHost): void {
    this.simulation.schedule(REPORT_INTERVAL_MS, () => {
      this.#reportLoop(host)
      const leader = this.#leader()
      if (leader === undefined) return
      const isNewLeader = host.reportedTo !== leader.replica.self.id && host.evidence.size > 0
      if (host.hasUnreported || isNewLeader) this.#report(host, leader)
    })
  }

  #report (host: SimulatedHost, { replica, correlator }: SimulatedLeader): void {
    const { incarnation } = host
    const crashReports = host.evidence.reports(this.simulation.now())
    const completed = [...host.completed]
    host.hasUnreported = false
    const leader = replica.self.id
    this.simulation.send(host.name, leader, () => {
      if (!replica.isAlive || replica.core.role !== 'leader') return
      this.#observe(correlator, crashReports, completed, replica)
      this.simulation.send(leader, host.name, () => {
        if (host.incarnation !== incarnation) return
        host.reportedTo = leader
        for (const fingerprint of completed) host.completed.delete(fingerprint)
      })
    })
    // Repeats a report that was not acknowledged.
    this.simulation.schedule(REPORT_INTERVAL_MS, () => { if (host.incarnation === incarnation && host.reportedTo !== leader) host.hasUnreported = true })
    host.reportedTo = undefined
  }

  #observe (correlator: CrashCorrelator, crashReports: readonly CrashReport[], completed: readonly string[], replica: SimulatedReplica): void {
    const now = this.simulation.now()
    for (const report of crashReports) correlator.observe(report, now)
    if (this.broken === 'bystanders-are-served') return
    const cleared = completed.flatMap((fingerprint): QuarantineDecision[] => {
      correlator.recordCompletion(fingerprint, now)
      return replica.state.quarantine.find(fingerprint) === undefined ? [] : [{ fingerprint, service: 'pool', decision: 'clear', forMs: 0 }]
    })
    if (cleared.length > 0) replica.propose({ kind: 'change-quarantine', decisions: cleared }, () => {})
  }

  #viewLoop (host: SimulatedHost): void {
    this.simulation.schedule(this.simulation.random() * 2 * MEAN_VIEW_INTERVAL_MS, () => {
      this.#viewLoop(host)
      const { replica } = this.simulation.pickFrom(this.#replicas)
      const { incarnation } = host
      this.simulation.send(host.name, replica.self.id, () => {
        if (!replica.isAlive || host.incarnation !== incarnation) return
        this.#answerView(host, replica)
      })
    })
  }

  #answerView (host: SimulatedHost, { state, self }: SimulatedReplica): void {
    const { incarnation, follower } = host
    const known = follower.viewRevision
    const changes = known === 0 ? undefined : state.changesSince(known)
    const quarantined = this.broken === 'poison-requests-stop' ? {} : quarantineMessage(state.quarantine, changes?.flatMap(({ quarantineChanged }) => quarantineChanged), this.simulation.wallClock())
    const common = { viewRevision: state.viewRevision, revision: state.revision, shards: [], weights: [], ...quarantined }
    const message = changes === undefined
      ? { kind: 'snapshot' as const, ...common, documents: [] }
      : { kind: 'changes' as const, ...common, fromViewRevision: known, upserts: [], removes: [] }
    this.simulation.send(self.id, host.name, () => {
      if (host.incarnation !== incarnation) return
      follower.apply(message, this.simulation.now())
      this.#disproveSuspicions(host)
    })
  }

  #disproveSuspicions (host: SimulatedHost): void {
    const suspected = host.follower.quarantine.all.filter(({ state }) => state === 'suspected').map(({ fingerprint }) => fingerprint)
    for (const fingerprint of suspected) {
      if (!host.checkedSuspicions.has(fingerprint) && host.evidence.disproves(fingerprint, this.simulation.now())) this.#reportCompletion(host, fingerprint)
    }
    host.checkedSuspicions = new Set(suspected)
  }

  // --- Control hosts ---

  #newReplica (self: Replica, disk: PersistentState): SimulatedReplica {
    return new SimulatedReplica(this.simulation, self, disk, ALL_MECHANISMS, {
      send: (from, to, message) => {
        this.simulation.send(from.id, to.id, () => { this.#replicas.find(({ replica }) => replica.self.id === to.id)?.replica.receive(message) })
      },
      applied: () => {}
    })
  }

  #leader (): SimulatedLeader | undefined {
    return this.#replicas.find(({ replica }) => replica.isAlive && replica.core.role === 'leader')
  }

  #decisionLoop (leader: SimulatedLeader): void {
    this.simulation.schedule(DECISION_INTERVAL_MS, () => {
      this.#decisionLoop(leader)
      const { replica, correlator } = leader
      if (!replica.isAlive) return
      if (replica.core.role !== 'leader') {
        correlator.reset()
        return
      }
      // Hosts serve requests only once there is a view, so this command creates the first one.
      if (replica.state.viewRevision === 0) replica.propose({ kind: 'assign-shards', owners: [] }, () => {})
      this.#decide(leader)
    })
  }

  #decide (leader: SimulatedLeader): void {
    const { replica: { state: { quarantine } }, correlator } = leader
    for (const endpoint of correlator.unconfirmedCrashes(quarantine)) this.#checkCrash(correlator, endpoint)
    if (leader.isProposing) return
    const decisions = correlator.decide(quarantine, this.simulation.now())
    if (decisions.length === 0) return
    leader.isProposing = true
    for (const { fingerprint, decision } of decisions) this.simulation.log(`${leader.replica.self.id}: ${decision} ${fingerprint}`)
    leader.replica.propose({ kind: 'change-quarantine', decisions }, () => { leader.isProposing = false })
  }

  /** Checks, after a delay, whether the endpoint has crashed. */
  #checkCrash (correlator: CrashCorrelator, endpoint: string): void {
    this.simulation.schedule(this.#randomBetween(1, 300), () => {
      correlator.recordCrashCheck(endpoint, this.broken === 'bystanders-are-served' || this.#pool.hasCrashed(endpoint), this.simulation.now())
    })
  }

  // --- Faults ---

  #faultLoop (): void {
    this.simulation.schedule(this.#randomBetween(MIN_FAULT_INTERVAL_MS, MAX_FAULT_INTERVAL_MS), () => {
      this.#faultLoop()
      if (this.simulation.drawFault('kill', 0.25)) this.#killControl()
      if (this.simulation.drawFault('freeze', 0.15)) this.#freezeControl()
      if (this.simulation.drawFault('swap', 0.3)) this.#restartHost(this.simulation.pickFrom(this.#hosts))
      if (this.simulation.drawFault('lost-disk', 0.3)) this.#pool.crashTogether(RACK_SIZE)
      if (this.simulation.drawFault('cut', 0.6)) this.#pool.breakConnections()
    })
  }

  #scheduleLosses (): void {
    const { leaderLostAtMs, hostsRestartAtMs } = this.shape
    if (leaderLostAtMs !== undefined) this.simulation.schedule(leaderLostAtMs, () => { this.#killLeader() })
    if (hostsRestartAtMs !== undefined) this.simulation.schedule(hostsRestartAtMs, () => { for (const host of this.#hosts) this.#restartHost(host) })
  }

  /** @returns the killed leader, or undefined if there is none or the others would not form a majority */
  #killLeader (): SimulatedLeader | undefined {
    const leader = this.#leader()
    if (leader === undefined || this.#replicas.some(({ replica }) => !replica.isAlive)) return undefined
    this.#controlDisturbedAt = this.simulation.now()
    leader.replica.kill()
    leader.correlator.reset()
    leader.isProposing = false
    return leader
  }

  #killControl (): void {
    const leader = this.#killLeader()
    if (leader === undefined) return
    this.simulation.schedule(this.simulation.random() * MAX_RESTART_DELAY_MS, () => {
      this.#controlDisturbedAt = this.simulation.now()
      leader.replica.restart()
    })
  }

  #freezeControl (): void {
    const frozenMs = this.simulation.random() * MAX_RESTART_DELAY_MS
    this.#controlDisturbedAt = this.simulation.now() + frozenMs
    this.#leader()?.replica.freeze(frozenMs)
  }

  #restartHost (host: SimulatedHost): void {
    Object.assign(host, newHost(host.name), { incarnation: host.incarnation + 1, startedAt: this.simulation.now() })
  }
}

function newHost (name: string): SimulatedHost {
  return {
    name, incarnation: 0, startedAt: 0, evidence: new CrashEvidence(), completed: new Set(), follower: new ViewFollower(), hasUnreported: false, reportedTo: undefined, checkedSuspicions: new Set()
  }
}

function partNamed (part: string): string {
  return partFingerprint({ model: 'model', part })
}
