/**
 * Control hosts form a group under kills, cut links and freezes while operators
 * already send commands. Afterwards the founder and one more host lose their
 * disks. Checks that every command acknowledged before is still in force.
 */
import type { PersistentState, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'
import { ALL_MECHANISMS, SimulatedReplica } from './SimulatedReplica.js'

/** A group of five hosts tolerates the loss of two. */
const HOSTS = 5
const EMPTY_DISK: PersistentState = { term: 0, votedFor: undefined, snapshot: undefined, entries: [] }

/** Number of groups formed one after another in a run; a formation is so short that a single one rarely meets a fault. */
const GROUPS = 20

/** Virtual duration of the phases with and without faults, and timeout of the read after the loss of two disks, in milliseconds. */
const FAULT_PHASE_MS = 1500
const FAULT_FREE_PHASE_MS = 4000
const READ_TIMEOUT_MS = 8000

/** Interval between reads after the loss of the disks, in milliseconds. Reads are repeated because the network still loses messages and a quorum now needs all three remaining hosts. */
const READ_INTERVAL_MS = 20

/** Maximum delay from the first acknowledgement to the loss of the disks, in milliseconds. */
const MAX_LOSS_DELAY_MS = 300

/** Safety limit for the number of events in one phase. */
const MAX_PHASE_EVENTS = 100_000

/** Maximum downtime of a killed process, in milliseconds. */
const MAX_RESTART_DELAY_MS = 300

/** State of one group of control hosts. */
interface Formation {
  readonly replicas: Map<string, SimulatedReplica>
  readonly founder: string
  /** Versions that were acknowledged to operators. */
  readonly acknowledged: number[]
  hasFaultsEnded: boolean
  hasLostDisks: boolean
}

/** Checks that a group accepts commands only once it is complete. */
export class FormationWorld implements World {
  #nextVersion = 0

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {}

  async run (): Promise<void> {
    for (let group = 0; group < GROUPS; group += 1) await this.#form(group)
  }

  async #form (group: number): Promise<void> {
    const formation = this.#startGroup(group)
    this.#operatorLoop(formation)
    this.#faultLoop(formation)
    await this.#advance(FAULT_PHASE_MS)
    this.#endFaults(formation)
    await this.#advance(FAULT_FREE_PHASE_MS)
    this.#loseDisks(formation)
    this.#checkEnd(formation, await this.#readVersion(formation))
    for (const replica of formation.replicas.values()) replica.kill()
  }

  async #advance (milliseconds: number): Promise<void> {
    await this.simulation.run({ events: this.simulation.executedEvents + MAX_PHASE_EVENTS, until: this.simulation.now() + milliseconds })
  }

  // --- Formation ---

  #startGroup (group: number): Formation {
    const names = Array.from({ length: HOSTS }, (_, host) => `group-${group}-host-${host}`)
    const formation: Formation = { replicas: new Map(), founder: names[0] ?? '', acknowledged: [], hasFaultsEnded: false, hasLostDisks: false }
    for (const name of names) this.#addReplica(formation, { id: name, address: name })
    this.#bootstrap(formation)
    for (const name of names.slice(1)) this.#joinLoop(formation, name)
    return formation
  }

  #addReplica (formation: Formation, self: Replica): void {
    const mechanisms = { ...ALL_MECHANISMS, minimumVoters: HOSTS, checksVotersOnAppend: this.broken !== 'complete-before-commands' }
    formation.replicas.set(self.id, new SimulatedReplica(this.simulation, self, EMPTY_DISK, mechanisms, {
      send: (from, to, message) => {
        this.simulation.send(from.id, to.id, () => { formation.replicas.get(to.id)?.receive(message) })
      },
      applied: () => {}
    }))
  }

  /** Bootstraps the founder, again after each restart with an empty disk. */
  #bootstrap (formation: Formation): void {
    const founder = formation.replicas.get(formation.founder)
    if (founder?.core.lastIndex !== 0) return
    founder.change((core, now) => ({ ok: true, value: core.bootstrap(now) }))
    // Simulates a slow disk: commands that arrive before the first election are processed together with it.
    if (this.simulation.drawFault('freeze', 0.5)) founder.freeze(this.simulation.random() * 100)
  }

  #joinLoop (formation: Formation, name: string): void {
    this.simulation.schedule(20 + this.simulation.random() * 60, () => {
      const joining = formation.replicas.get(name)
      if (joining === undefined || formation.hasLostDisks) return
      this.#joinLoop(formation, name)
      const leader = this.#leader(formation)
      if (leader === undefined) return
      const { voters, learners } = leader.core.committedMembership
      if (voters.some(voter => voter.id === name)) return
      const isLearner = learners.some(learner => learner.id === name)
      leader.change((core, now) => isLearner ? core.promote(name, now) : core.addLearner(joining.self, now))
    })
  }

  #leader (formation: Formation): SimulatedReplica | undefined {
    return [...formation.replicas.values()].find(replica => replica.isAlive && replica.core.canRead(this.simulation.now()))
  }

  // --- Operators ---

  #operatorLoop (formation: Formation): void {
    this.simulation.schedule(this.simulation.random() * 12, () => {
      if (formation.hasLostDisks) return
      this.#operatorLoop(formation)
      this.#nextVersion += 1
      const version = this.#nextVersion
      const target = this.simulation.chance(0.5) ? formation.founder : this.simulation.pickFrom([...formation.replicas.keys()])
      this.simulation.send('operator', target, () => {
        const replica = formation.replicas.get(target)
        if (replica?.isAlive !== true) return
        replica.propose({ kind: 'name-weights', model: 'base', version }, outcome => {
          if (outcome.kind !== 'applied') return
          this.simulation.send(target, 'operator', () => { this.#onAcknowledged(formation, version) })
        })
      })
    })
  }

  #onAcknowledged (formation: Formation, version: number): void {
    if (formation.hasLostDisks) return
    formation.acknowledged.push(version)
    if (formation.acknowledged.length > 1) return
    this.simulation.log(`version ${version} is acknowledged by ${this.#voterCounts(formation)}`)
    this.simulation.schedule(this.simulation.random() * MAX_LOSS_DELAY_MS, () => {
      this.#endFaults(formation)
      this.#loseDisks(formation)
    })
  }

  #voterCounts (formation: Formation): string {
    return [...formation.replicas.values()].map(({ self, core }) => `${self.id}: ${core.role}, ${core.committedMembership.voters.length} voters`).join('; ')
  }

  // --- Faults ---

  #faultLoop (formation: Formation): void {
    this.simulation.schedule(10 + this.simulation.random() * 100, () => {
      if (formation.hasFaultsEnded) return
      this.#faultLoop(formation)
      const names = [...formation.replicas.keys()]
      const name = this.simulation.chance(0.5) ? formation.founder : this.simulation.pickFrom(names)
      const replica = formation.replicas.get(name)
      if (replica === undefined) return
      if (this.simulation.drawFault('kill', 0.2)) this.#kill(formation, replica)
      if (this.simulation.drawFault('freeze', 0.4)) replica.freeze(this.simulation.random() * 200)
      if (this.simulation.drawFault('cut', 0.2)) this.simulation.cutLink(name, this.simulation.pickFrom(names), this.simulation.random() * 500)
    })
  }

  #kill (formation: Formation, replica: SimulatedReplica): void {
    if (!replica.isAlive) return
    this.simulation.log(`kill ${replica.self.id}, ${replica.core.role} of term ${replica.core.term}`)
    replica.kill()
    this.simulation.schedule(this.simulation.random() * MAX_RESTART_DELAY_MS, () => { this.#restart(formation, replica) })
  }

  #restart (formation: Formation, replica: SimulatedReplica): void {
    if (replica.isAlive || formation.replicas.get(replica.self.id) !== replica) return
    replica.restart()
    this.#bootstrap(formation)
  }

  #endFaults (formation: Formation): void {
    formation.hasFaultsEnded = true
    this.simulation.restoreLinks()
    for (const replica of formation.replicas.values()) this.#restart(formation, replica)
  }

  /** The founder is among the lost hosts because a group that accepted commands too early may have stored them on the founder only. */
  #loseDisks (formation: Formation): void {
    if (formation.hasLostDisks) return
    formation.hasLostDisks = true
    const others = [...formation.replicas.keys()].filter(name => name !== formation.founder)
    for (const name of [formation.founder, this.simulation.pickFrom(others)]) {
      this.simulation.log(`${name} loses its disk`)
      formation.replicas.get(name)?.kill()
      formation.replicas.delete(name)
    }
  }

  /** Repeats a read until a leader can answer it. */
  async #readVersion (formation: Formation): Promise<number> {
    for (const deadline = this.simulation.now() + READ_TIMEOUT_MS; this.simulation.now() < deadline;) {
      await this.#advance(READ_INTERVAL_MS)
      const leader = this.#leader(formation)
      if (leader !== undefined) return leader.state.sites.weights[0]?.version ?? 0
    }
    return 0
  }

  #checkEnd (formation: Formation, keptVersion: number): void {
    const [first] = formation.acknowledged
    this.recorder.check('complete-before-commands', first !== undefined, () => `${formation.founder}: nothing was acknowledged, so the group never formed`)
    if (first === undefined) return
    const newest = Math.max(...formation.acknowledged)
    this.recorder.check('complete-before-commands', keptVersion >= newest,
      () => `${formation.founder}: version ${newest} was acknowledged, three of five disks hold ${keptVersion === 0 ? 'none that a quorum confirms' : keptVersion}`)
  }
}
