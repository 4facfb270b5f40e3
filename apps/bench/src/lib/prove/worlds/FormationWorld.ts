/**
 * A group of control hosts that is founded and joined under kills, cuts and
 * freezes while operators already call. Then the founder and one more host lose
 * their disks. Checks that whatever was acknowledged before is still there.
 */
import type { PersistentState, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { Ledger, PromiseName } from '../Ledger.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'
import { ALL_MECHANISMS, SimulatedReplica } from './SimulatedReplica.js'

/** Five hosts bear the loss of two. */
const HOSTS = 5
const EMPTY_DISK: PersistentState = { term: 0, votedFor: undefined, snapshot: undefined, entries: [] }

/** Groups formed one after another in a run; the founding is short, so one alone would seldom meet a fault. */
const FOUNDINGS = 20

/** Virtual time of each part of a founding, in milliseconds: with faults, without, and after the loss of two disks. */
const FAULTY_MS = 1500
const CALM_MS = 4000
const AFTER_LOSS_MS = 8000

/** Interval between reads after the loss, in milliseconds: the network still loses messages, and all three hosts are needed now. */
const READ_MS = 20

/** Longest wait from the first acknowledgement to the loss of the disks, in milliseconds. */
const LOSS_MS = 300

/** Events of one part, as a bound only. */
const EVENTS = 100_000

/** Restarted processes come back within this time, in milliseconds. */
const RESTART_MS = 300

/** One group from its founding to its end. */
interface Founding {
  readonly replicas: Map<string, SimulatedReplica>
  readonly founder: string
  /** Versions that operators were told are in force. */
  readonly acknowledged: number[]
  isCalm: boolean
  hasLostDisks: boolean
}

/** The world. */
export class FormationWorld implements World {
  #nextVersion = 0

  /**
   * @param simulation - schedule
   * @param ledger - checks
   * @param broken - promise whose mechanism is taken away
   */
  constructor (private readonly simulation: Simulation, private readonly ledger: Ledger, private readonly broken: PromiseName | undefined) {}

  async run (): Promise<void> {
    for (let group = 0; group < FOUNDINGS; group += 1) await this.#form(group)
  }

  async #form (group: number): Promise<void> {
    const founding = this.#found(group)
    this.#operatorLoop(founding)
    this.#faultLoop(founding)
    await this.#pass(FAULTY_MS)
    this.#calm(founding)
    await this.#pass(CALM_MS)
    this.#loseDisks(founding)
    this.#checkEnd(founding, await this.#read(founding))
    for (const replica of founding.replicas.values()) replica.kill()
  }

  async #pass (milliseconds: number): Promise<void> {
    await this.simulation.run({ events: this.simulation.executed + EVENTS, until: this.simulation.now() + milliseconds })
  }

  // --- Founding and joining ---

  #found (group: number): Founding {
    const names = Array.from({ length: HOSTS }, (_, host) => `group-${group}-host-${host}`)
    const founding: Founding = { replicas: new Map(), founder: names[0] ?? '', acknowledged: [], isCalm: false, hasLostDisks: false }
    for (const name of names) this.#addReplica(founding, { id: name, address: name })
    this.#bootstrap(founding)
    for (const name of names.slice(1)) this.#joinLoop(founding, name)
    return founding
  }

  #addReplica (founding: Founding, self: Replica): void {
    const mechanisms = { ...ALL_MECHANISMS, minimumVoters: HOSTS, asksInStep: this.broken !== 'complete-before-commands' }
    founding.replicas.set(self.id, new SimulatedReplica(this.simulation, self, EMPTY_DISK, mechanisms, {
      send: (from, to, message) => {
        this.simulation.send(from.id, to.id, () => { founding.replicas.get(to.id)?.receive(message) })
      },
      applied: () => {}
    }))
  }

  /** Also after a restart that found the disk still empty. */
  #bootstrap (founding: Founding): void {
    const founder = founding.replicas.get(founding.founder)
    if (founder?.core.lastIndex !== 0) return
    founder.change((core, now) => ({ ok: true, value: core.bootstrap(now) }))
    // As by a slow disk: what arrives before the first election waits together with it.
    if (this.simulation.fault('freeze', 0.5)) founder.freeze(this.simulation.random() * 100)
  }

  #joinLoop (founding: Founding, name: string): void {
    this.simulation.after(20 + this.simulation.random() * 60, () => {
      const joining = founding.replicas.get(name)
      if (joining === undefined || founding.hasLostDisks) return
      this.#joinLoop(founding, name)
      const leader = this.#leader(founding)
      if (leader === undefined) return
      const { voters, learners } = leader.core.committedMembership
      if (voters.some(voter => voter.id === name)) return
      const isLearner = learners.some(learner => learner.id === name)
      leader.change((core, now) => isLearner ? core.promote(name, now) : core.addLearner(joining.self, now))
    })
  }

  #leader (founding: Founding): SimulatedReplica | undefined {
    return [...founding.replicas.values()].find(replica => replica.isAlive && replica.core.canRead(this.simulation.now()))
  }

  // --- Operators ---

  #operatorLoop (founding: Founding): void {
    this.simulation.after(this.simulation.random() * 12, () => {
      if (founding.hasLostDisks) return
      this.#operatorLoop(founding)
      this.#nextVersion += 1
      const version = this.#nextVersion
      const target = this.simulation.chance(0.5) ? founding.founder : this.simulation.oneOf([...founding.replicas.keys()])
      this.simulation.send('operator', target, () => {
        const replica = founding.replicas.get(target)
        if (replica?.isAlive !== true) return
        replica.propose({ kind: 'name-weights', model: 'base', version }, outcome => {
          if (outcome.kind !== 'applied') return
          this.simulation.send(target, 'operator', () => { this.#onAcknowledged(founding, version) })
        })
      })
    })
  }

  #onAcknowledged (founding: Founding, version: number): void {
    if (founding.hasLostDisks) return
    founding.acknowledged.push(version)
    if (founding.acknowledged.length > 1) return
    this.simulation.note(`version ${version} is acknowledged by ${this.#voterCounts(founding)}`)
    this.simulation.after(this.simulation.random() * LOSS_MS, () => {
      this.#calm(founding)
      this.#loseDisks(founding)
    })
  }

  #voterCounts (founding: Founding): string {
    return [...founding.replicas.values()].map(({ self, core }) => `${self.id}: ${core.role}, ${core.committedMembership.voters.length} voters`).join('; ')
  }

  // --- Faults ---

  #faultLoop (founding: Founding): void {
    this.simulation.after(10 + this.simulation.random() * 100, () => {
      if (founding.isCalm) return
      this.#faultLoop(founding)
      const names = [...founding.replicas.keys()]
      const name = this.simulation.chance(0.5) ? founding.founder : this.simulation.oneOf(names)
      const replica = founding.replicas.get(name)
      if (replica === undefined) return
      if (this.simulation.fault('kill', 0.2)) this.#kill(founding, replica)
      if (this.simulation.fault('freeze', 0.4)) replica.freeze(this.simulation.random() * 200)
      if (this.simulation.fault('cut', 0.2)) this.simulation.cut(name, this.simulation.oneOf(names), this.simulation.random() * 500)
    })
  }

  #kill (founding: Founding, replica: SimulatedReplica): void {
    if (!replica.isAlive) return
    this.simulation.note(`kill ${replica.self.id}, ${replica.core.role} of term ${replica.core.term}`)
    replica.kill()
    this.simulation.after(this.simulation.random() * RESTART_MS, () => { this.#restart(founding, replica) })
  }

  #restart (founding: Founding, replica: SimulatedReplica): void {
    if (replica.isAlive || founding.replicas.get(replica.self.id) !== replica) return
    replica.restart()
    this.#bootstrap(founding)
  }

  #calm (founding: Founding): void {
    founding.isCalm = true
    this.simulation.heal()
    for (const replica of founding.replicas.values()) this.#restart(founding, replica)
  }

  /** The founder is the one whose loss a group that took commands too early would not bear. */
  #loseDisks (founding: Founding): void {
    if (founding.hasLostDisks) return
    founding.hasLostDisks = true
    const others = [...founding.replicas.keys()].filter(name => name !== founding.founder)
    for (const name of [founding.founder, this.simulation.oneOf(others)]) {
      this.simulation.note(`${name} loses its disk`)
      founding.replicas.get(name)?.kill()
      founding.replicas.delete(name)
    }
  }

  /** As an operator: reads until a host is sure. */
  async #read (founding: Founding): Promise<number> {
    for (const deadline = this.simulation.now() + AFTER_LOSS_MS; this.simulation.now() < deadline;) {
      await this.#pass(READ_MS)
      const leader = this.#leader(founding)
      if (leader !== undefined) return leader.state.sites.weights[0]?.version ?? 0
    }
    return 0
  }

  #checkEnd (founding: Founding, kept: number): void {
    const [first] = founding.acknowledged
    this.ledger.check('complete-before-commands', first !== undefined, () => `${founding.founder}: nothing was acknowledged, so the group never formed`)
    if (first === undefined) return
    const newest = Math.max(...founding.acknowledged)
    this.ledger.check('complete-before-commands', kept >= newest,
      () => `${founding.founder}: version ${newest} was acknowledged, three of five disks hold ${kept === 0 ? 'none that a quorum confirms' : kept}`)
  }
}
