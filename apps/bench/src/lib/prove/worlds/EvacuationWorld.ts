/**
 * An operator evacuates data centres under kills, power losses, cut links and freezes of the control hosts.
 * Orders are retried, and copies of them arrive seconds late. Checks that an acknowledged order stays in force
 * until the operator gives a newer one for the same data centre.
 */
import type { PersistentState, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { Command } from '@eelgrassmux/state/commands'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'
import { SimulatedProposer } from './SimulatedProposer.js'
import { ALL_MECHANISMS, SimulatedReplica } from './SimulatedReplica.js'

const REPLICAS = 3
const DATA_CENTRES = ['north', 'central', 'south']

/** Limits of the events and the virtual time of the phases with and without faults. */
const FAULT_PHASE_EVENTS = 20_000
const FAULT_PHASE_MS = 30_000
const FAULT_FREE_PHASE_EVENTS = 40_000
const FAULT_FREE_PHASE_MS = 15_000

/** Maximum downtime of a killed process, in milliseconds. */
const MAX_RESTART_DELAY_MS = 1500

/** Timeout of an order, and maximum delay of a late copy of it, in milliseconds. */
const ORDER_TIMEOUT_MS = 3000
const MAX_COPY_DELAY_MS = 5000

/** The newest order for a data centre. */
interface NewestOrder {
  readonly number: number
  readonly isEvacuated: boolean
  /** Upper bound of the log index of the order; undefined until the order is acknowledged. */
  appliedBy: number | undefined
}

/** Checks that acknowledged evacuation orders stay in force. */
export class EvacuationWorld implements World {
  readonly #replicas = new Map<string, SimulatedReplica>()
  readonly #proposer: SimulatedProposer
  readonly #newest = new Map<string, NewestOrder>()
  #orders = 0
  #hasFaultsEnded = false

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {
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
    await this.simulation.run({ events: FAULT_PHASE_EVENTS, until: FAULT_PHASE_MS })
    this.#hasFaultsEnded = true
    this.simulation.restoreLinks()
    for (const replica of this.#replicas.values()) if (!replica.isAlive) replica.restart()
    await this.simulation.run({ events: this.simulation.executedEvents + FAULT_FREE_PHASE_EVENTS, until: this.simulation.now() + FAULT_FREE_PHASE_MS })
    this.#checkEnd()
  }

  /** Alternates between starting and ending an evacuation; the next order follows once the previous one is acknowledged or has timed out. */
  #operatorLoop (dataCentre: string, isEvacuated: boolean): void {
    this.simulation.schedule(100 + this.simulation.random() * 1500, () => {
      if (this.#hasFaultsEnded) return
      void this.#giveOrder(dataCentre, isEvacuated).then(() => { this.#operatorLoop(dataCentre, !isEvacuated) })
    })
  }

  async #giveOrder (dataCentre: string, isEvacuated: boolean): Promise<void> {
    this.#orders += 1
    const order: NewestOrder = { number: this.#orders, isEvacuated, appliedBy: undefined }
    this.#newest.set(dataCentre, order)
    const deadline = this.simulation.now() + ORDER_TIMEOUT_MS
    let knownRevision = this.#revisionOfAnyReplica()
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

  /** Delivers a copy of the order late, as a thawed host or a restored link does after the order was acknowledged through other replicas. */
  #sendLateCopy (command: Command): void {
    if (!this.simulation.chance(0.4)) return
    this.simulation.schedule(this.simulation.random() * MAX_COPY_DELAY_MS, () => {
      void this.#proposer.propose('operator', command, ORDER_TIMEOUT_MS, () => true)
    })
  }

  #revisionOfAnyReplica (): number {
    return this.simulation.pickFrom([...this.#replicas.values()]).state.evacuations.revision
  }

  #checkOrders (replica: SimulatedReplica): void {
    for (const [dataCentre, { number, isEvacuated, appliedBy }] of this.#newest) {
      if (appliedBy === undefined || replica.appliedIndex < appliedBy) continue
      const inForce = replica.state.evacuations.evacuated.includes(dataCentre)
      this.recorder.check('evacuations-hold', inForce === isEvacuated,
        () => `${replica.self.id} has ${dataCentre} ${inForce ? 'evacuated' : 'in use'} after order ${number} was acknowledged`)
    }
  }

  #faultLoop (): void {
    this.simulation.schedule(100 + this.simulation.random() * 500, () => {
      if (this.#hasFaultsEnded) return
      this.#faultLoop()
      const replica = this.simulation.pickFrom([...this.#replicas.values()])
      const other = this.simulation.pickFrom([...this.#replicas.keys()])
      if (this.simulation.drawFault('kill', 0.25)) this.#kill(replica)
      if (this.simulation.drawFault('kill', 0.06)) for (const each of this.#replicas.values()) this.#kill(each)
      if (this.simulation.drawFault('freeze', 0.25)) replica.freeze(this.simulation.random() * 2500)
      if (this.simulation.drawFault('cut', 0.3)) this.simulation.cutLink(replica.self.id, other, this.simulation.random() * 3000)
    })
  }

  #kill (replica: SimulatedReplica): void {
    if (!replica.isAlive) return
    this.simulation.log(`kill ${replica.self.id}, ${replica.core.role} of term ${replica.core.term}`)
    replica.kill()
    this.simulation.schedule(this.simulation.random() * MAX_RESTART_DELAY_MS, () => { if (!replica.isAlive) replica.restart() })
  }

  #checkEnd (): void {
    const leader = [...this.#replicas.values()].find(replica => replica.core.canRead(this.simulation.now()))
    this.recorder.check('evacuations-hold', leader !== undefined, () => 'no leader after the faults ended')
    if (leader !== undefined) this.#checkOrders(leader)
  }
}
