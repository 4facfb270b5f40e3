/**
 * Control hosts and an operator that has data centres evacuated, under kills, losses of power, cuts and
 * freezes, with orders that are sent again and copies that arrive seconds late. Checks that what was
 * acknowledged stays in force until a newer order about the same data centre is given.
 */
import type { PersistentState, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { Command } from '@eelgrassmux/state/commands'
import type { Ledger, PromiseName } from '../Ledger.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'
import { SimulatedProposer } from './SimulatedProposer.js'
import { ALL_MECHANISMS, SimulatedReplica } from './SimulatedReplica.js'

const REPLICAS = 3
const DATA_CENTRES = ['north', 'central', 'south']

/** Events of the part with faults, and time for the part without. */
const FAULTY_EVENTS = 20_000
const FAULTY_MS = 30_000
const CALM_EVENTS = 40_000
const CALM_MS = 15_000

/** Restarted processes come back within this time, in milliseconds. */
const RESTART_MS = 1500

/** Time for which an operator tries an order, and up to which a copy of it may be late, in milliseconds. */
const ORDER_MS = 3000
const LATEST_COPY_MS = 5000

/** The newest order about one data centre. */
interface NewestOrder {
  readonly number: number
  readonly isEvacuated: boolean
  /** Index in the log by which it was applied; undefined until it is acknowledged. */
  appliedBy: number | undefined
}

/** The world. */
export class EvacuationWorld implements World {
  readonly #replicas = new Map<string, SimulatedReplica>()
  readonly #proposer: SimulatedProposer
  readonly #newest = new Map<string, NewestOrder>()
  #orders = 0
  #isCalm = false

  /**
   * @param simulation - schedule
   * @param ledger - checks
   * @param broken - promise whose mechanism is taken away
   */
  constructor (private readonly simulation: Simulation, private readonly ledger: Ledger, private readonly broken: PromiseName | undefined) {
    this.#proposer = new SimulatedProposer(simulation, this.#replicas)
    const founders = Array.from({ length: REPLICAS }, (_, index): Replica => ({ id: `replica-${index}`, address: `replica-${index}` }))
    const disk: PersistentState = {
      term: 1, votedFor: undefined, snapshot: undefined, entries: [{ kind: 'membership', index: 1, term: 1, membership: { voters: founders, learners: [] } }]
    }
    for (const founder of founders) {
      this.#replicas.set(founder.id, new SimulatedReplica(simulation, founder, disk, ALL_MECHANISMS, {
        send: (from, to, message) => { simulation.send(from.id, to.id, () => { this.#replicas.get(to.id)?.receive(message) }) },
        applied: replica => { this.#checkOrders(replica) }
      }))
    }
  }

  async run (): Promise<void> {
    for (const dataCentre of DATA_CENTRES) this.#operatorLoop(dataCentre, true)
    this.#faultLoop()
    await this.simulation.run({ events: FAULTY_EVENTS, until: FAULTY_MS })
    this.#isCalm = true
    this.simulation.heal()
    for (const replica of this.#replicas.values()) if (!replica.isAlive) replica.restart()
    await this.simulation.run({ events: this.simulation.executed + CALM_EVENTS, until: this.simulation.now() + CALM_MS })
    this.#checkEnd()
  }

  /** Starts and ends by turns; the next order is given when the one before is acknowledged or was given up. */
  #operatorLoop (dataCentre: string, isEvacuated: boolean): void {
    this.simulation.after(100 + this.simulation.random() * 1500, () => {
      if (this.#isCalm) return
      void this.#order(dataCentre, isEvacuated).then(() => { this.#operatorLoop(dataCentre, !isEvacuated) })
    })
  }

  async #order (dataCentre: string, isEvacuated: boolean): Promise<void> {
    this.#orders += 1
    const order: NewestOrder = { number: this.#orders, isEvacuated, appliedBy: undefined }
    this.#newest.set(dataCentre, order)
    const deadline = this.simulation.now() + ORDER_MS
    let knownRevision = this.#revisionSomewhere()
    while (this.simulation.now() < deadline) {
      const command: Command = { kind: 'order-evacuation', dataCentre, isEvacuated, knownRevision: this.broken === 'evacuations-hold' ? Number.MAX_SAFE_INTEGER : knownRevision }
      this.#sendLateCopy(command)
      const result = await this.#proposer.propose('operator', command, deadline - this.simulation.now(), () => true)
      if (!result.ok) return
      if (result.value.kind === 'accepted') {
        order.appliedBy = Math.max(...[...this.#replicas.values()].map(replica => replica.appliedIndex))
        return
      }
      knownRevision = result.value.kind === 'revision-conflict' ? result.value.revision : knownRevision
    }
  }

  /** What a host that stood still, or a link that was cut, delivers long after the order was acknowledged through others. */
  #sendLateCopy (command: Command): void {
    if (!this.simulation.chance(0.4)) return
    this.simulation.after(this.simulation.random() * LATEST_COPY_MS, () => {
      void this.#proposer.propose('operator', command, ORDER_MS, () => true)
    })
  }

  #revisionSomewhere (): number {
    return this.simulation.oneOf([...this.#replicas.values()]).state.evacuations.revision
  }

  #checkOrders (replica: SimulatedReplica): void {
    for (const [dataCentre, { number, isEvacuated, appliedBy }] of this.#newest) {
      if (appliedBy === undefined || replica.appliedIndex < appliedBy) continue
      const inForce = replica.state.evacuations.evacuated.includes(dataCentre)
      this.ledger.check('evacuations-hold', inForce === isEvacuated,
        () => `${replica.self.id} has ${dataCentre} ${inForce ? 'evacuated' : 'in use'} after order ${number} was acknowledged`)
    }
  }

  #faultLoop (): void {
    this.simulation.after(100 + this.simulation.random() * 500, () => {
      if (this.#isCalm) return
      this.#faultLoop()
      const replica = this.simulation.oneOf([...this.#replicas.values()])
      const other = this.simulation.oneOf([...this.#replicas.keys()])
      if (this.simulation.fault('kill', 0.25)) this.#kill(replica)
      if (this.simulation.fault('kill', 0.06)) for (const each of this.#replicas.values()) this.#kill(each)
      if (this.simulation.fault('freeze', 0.25)) replica.freeze(this.simulation.random() * 2500)
      if (this.simulation.fault('cut', 0.3)) this.simulation.cut(replica.self.id, other, this.simulation.random() * 3000)
    })
  }

  #kill (replica: SimulatedReplica): void {
    if (!replica.isAlive) return
    this.simulation.note(`kill ${replica.self.id}, ${replica.core.role} of term ${replica.core.term}`)
    replica.kill()
    this.simulation.after(this.simulation.random() * RESTART_MS, () => { if (!replica.isAlive) replica.restart() })
  }

  #checkEnd (): void {
    const leader = [...this.#replicas.values()].find(replica => replica.core.canRead(this.simulation.now()))
    this.ledger.check('evacuations-hold', leader !== undefined, () => 'no leader after the faults ended')
    if (leader !== undefined) this.#checkOrders(leader)
  }
}
