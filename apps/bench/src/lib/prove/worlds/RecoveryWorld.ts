/**
 * Control hosts that lose their disks, while others lose power, are cut off, paused or replaced, also in each step of a
 * change of the membership. At most two disks count as lost at a time; one counts until four seconds after its host is
 * back. Checks that the group decides again and that everything acknowledged is there.
 */
import { findSurplusReplica, removeIfStillSurplus } from '@eelgrassmux/control/raft/surplusReplicas'
import type { PersistentState, RaftMessage, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'
import { SimulatedProposer } from './SimulatedProposer.js'
import { ALL_MECHANISMS, SimulatedReplica } from './SimulatedReplica.js'

const HOSTS = 5
const TOLERATED_LOSSES = 2

/** How long a disk counts as lost after its host is back, in milliseconds. */
const CATCH_UP_MS = 4000

/** Virtual durations of the phases with and without faults, in milliseconds; the second is the bound of the recovery. */
const FAULT_PHASE_MS = 60_000
const RECOVERY_MS = 12_000

/** Safety limit for the number of events in one phase. */
const MAX_PHASE_EVENTS = 300_000

/** Longest duration of a fault that destroys nothing, in milliseconds. */
const MAX_DISRUPTION_MS = 1200

/** Longest time for which entries do not reach a host that has joined, in milliseconds; short messages do. */
const MAX_SLOW_TRANSFER_MS = 6000

/** Time without a leader after which no further fault is injected, in milliseconds. */
const MAX_LEADERLESS_MS = 6000

/** Interval of the join requests of a host, in milliseconds. */
const JOIN_INTERVAL_MS = 100

/** Time after which the transport reports that a message was lost, in milliseconds. */
const LOSS_REPORT_MS = 300

const EMPTY_DISK: PersistentState = { term: 0, votedFor: undefined, snapshot: undefined, entries: [] }

interface ControlHost {
  replica: SimulatedReplica
  /** When the disk no longer counts as lost. */
  lostUntil: number
  /** When entries reach this host again. */
  slowUntil: number
}

/** Checks that the loss of disks never ends a group. */
export class RecoveryWorld implements World {
  readonly #hosts = new Map<string, ControlHost>()
  readonly #replicas = new Map<string, SimulatedReplica>()
  readonly #proposer: SimulatedProposer
  #acknowledged = 0
  #nextVersion = 0
  #nextId = 0
  #nextAddress = HOSTS
  #hasFaultsEnded = false
  #ledAt = 0
  #term: number | undefined
  #membership = ''

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {
    this.#proposer = new SimulatedProposer(simulation, this.#replicas)
    const founders = Array.from({ length: HOSTS }, (_, number) => this.#newReplica(`host-${number}`))
    const disk: PersistentState = { ...EMPTY_DISK, term: 1, entries: [{ kind: 'membership', index: 1, term: 1, membership: { voters: founders, learners: [] } }] }
    for (const founder of founders) this.#start(founder, disk)
  }

  async run (): Promise<void> {
    this.#operatorLoop()
    this.#faultLoop()
    this.#removalLoop()
    await this.simulation.run({ events: this.simulation.executedEvents + MAX_PHASE_EVENTS, until: this.simulation.now() + FAULT_PHASE_MS })
    this.#hasFaultsEnded = true
    this.simulation.restoreLinks()
    for (const { replica } of this.#hosts.values()) if (!replica.isAlive) replica.restart()
    await this.simulation.run({ events: this.simulation.executedEvents + MAX_PHASE_EVENTS, until: this.simulation.now() + RECOVERY_MS })
    this.#checkEnd()
  }

  #newReplica (address: string): Replica {
    this.#nextId += 1
    return { id: `${address}#${this.#nextId}`, address }
  }

  #start (self: Replica, disk: PersistentState): ControlHost {
    const replica = new SimulatedReplica(this.simulation, self, disk, { ...ALL_MECHANISMS, minimumVoters: HOSTS }, {
      send: (from, to, message) => { this.#send(from, to, message) },
      applied: () => {}
    })
    const host = { replica, lostUntil: 0, slowUntil: 0 }
    this.#hosts.set(self.address, host)
    this.#replicas.set(self.id, replica)
    return host
  }

  #send (from: Replica, to: Replica, message: RaftMessage): void {
    const sender = this.#replicas.get(from.id)
    const isBulk = message.kind === 'snapshot-request' || (message.kind === 'append-request' && message.entries.length > 0)
    let isReported = !isBulk
    const report = (isDelivered: boolean): void => {
      if (isReported || sender?.isAlive !== true || !('sentAt' in message)) return
      isReported = true
      sender.core.reportDelivery({ to: to.id, term: message.term, sentAt: message.sentAt, isDelivered })
    }
    this.simulation.schedule(LOSS_REPORT_MS, () => { report(false) })
    this.simulation.send(from.address, hostOf(to), () => {
      const host = this.#hosts.get(hostOf(to))
      if (host?.replica.self.id !== to.id || !host.replica.isAlive) return
      if (isBulk && this.simulation.now() < host.slowUntil) return
      report(true)
      host.replica.receive(message)
    })
  }

  /** Removes voters that were replaced, as the leader's membership task does. */
  #removalLoop (): void {
    this.simulation.schedule(JOIN_INTERVAL_MS, () => {
      this.#removalLoop()
      this.#observeLeader()
      this.#rejoinRemoved()
      for (const { replica } of this.#hosts.values()) {
        const surplus = findSurplusReplica(replica.core, HOSTS, this.simulation.now())
        if (replica.isAlive && surplus !== undefined) replica.change((core, now) => removeIfStillSurplus(core, surplus.id, HOSTS, now))
      }
    })
  }

  /** A replica that was removed while it was down or silent notices that from the leader's answer, and joins again. */
  #rejoinRemoved (): void {
    const leader = this.#leader()
    if (leader === undefined) return
    const { voters, learners } = leader.core.committedMembership
    for (const [address, { replica }] of this.#hosts) {
      const isMember = [...voters, ...learners].some(({ id }) => id === replica.self.id)
      if (replica.isAlive && !isMember) this.simulation.send(address, leader.self.address, () => { this.#requestJoin(leader, replica.self) })
    }
    for (const { id, address } of learners) {
      const host = this.#hosts.get(address)
      if (host?.replica.self.id === id && host.replica.isAlive) this.simulation.send(address, leader.self.address, () => { this.#requestJoin(leader, host.replica.self) })
    }
  }

  /** Ends the faults once there has been no leader for long, since further losses would only hide the cause. */
  #observeLeader (): void {
    const now = this.simulation.now()
    const leader = this.#leader()
    if (leader?.core.term !== this.#term) this.simulation.log(leader === undefined ? 'nobody leads' : `${leader.self.id} leads in term ${leader.core.term}`)
    this.#term = leader?.core.term
    if (leader !== undefined) this.#ledAt = now
    const membership = leader?.core.membership.voters.map(({ id }) => id).join(' ') ?? ''
    if (membership !== '' && membership !== this.#membership) this.simulation.log(`voters ${membership}`)
    if (membership !== '') this.#membership = membership
    if (now - this.#ledAt > MAX_LEADERLESS_MS) this.#hasFaultsEnded = true
  }

  #leader (): SimulatedReplica | undefined {
    return [...this.#replicas.values()].find(replica => replica.isAlive && replica.core.canRead(this.simulation.now()))
  }

  #operatorLoop (): void {
    this.simulation.schedule(100 + this.simulation.random() * 300, () => {
      if (this.#hasFaultsEnded) return
      this.#operatorLoop()
      this.#nextVersion += 1
      const version = this.#nextVersion
      void this.#proposer.propose('operator', { kind: 'name-weights', model: 'model', version }, 2000, () => true).then(result => {
        if (result.ok) this.#acknowledged = Math.max(this.#acknowledged, version)
      })
    })
  }

  #faultLoop (): void {
    this.simulation.schedule(100 + this.simulation.random() * 1500, () => {
      if (this.#hasFaultsEnded) return
      this.#faultLoop()
      const addresses = [...this.#hosts.keys()]
      if (this.simulation.drawFault('freeze', 0.15)) this.#hosts.get(this.simulation.pickFrom(addresses))?.replica.freeze(this.simulation.random() * MAX_DISRUPTION_MS)
      if (this.simulation.drawFault('cut', 0.15)) this.#split(addresses)
      const losses = this.simulation.drawFault('lost-disk', 0.4) ? 1 + this.simulation.pick(TOLERATED_LOSSES) : 0
      const isReplaced = this.simulation.drawFault('swap', 0.2)
      const losing = this.#drawLosses(addresses, losses)
      for (const address of losing) this.#loseDisk(address, isReplaced)
      // The others lose power at the same moment, so that the change of the membership stops wherever it is.
      if (!this.simulation.drawFault('kill', 0.15)) return
      this.simulation.log('all others lose power')
      for (const address of addresses) if (!losing.includes(address)) this.#losePower(address)
    })
  }

  #drawLosses (addresses: readonly string[], wanted: number): string[] {
    const now = this.simulation.now()
    const lost = [...this.#hosts.values()].filter(({ lostUntil }) => now < lostUntil).length
    const whole = addresses.filter(address => now >= (this.#hosts.get(address)?.lostUntil ?? 0))
    const drawn: string[] = []
    while (drawn.length < Math.min(wanted, TOLERATED_LOSSES - lost)) {
      const address = this.simulation.pickFrom(whole)
      if (!drawn.includes(address)) drawn.push(address)
    }
    return drawn
  }

  #losePower (address: string): void {
    const replica = this.#hosts.get(address)?.replica
    if (replica?.isAlive !== true) return
    replica.kill()
    this.simulation.schedule(this.simulation.random() * MAX_DISRUPTION_MS, () => {
      if (!replica.isAlive && this.#replicas.has(replica.self.id)) replica.restart()
    })
  }

  #split (addresses: readonly string[]): void {
    const half = new Set(addresses.filter(() => this.simulation.chance(0.5)))
    const duration = this.simulation.random() * MAX_DISRUPTION_MS
    this.simulation.log(`split ${[...half].join(' ')} from the others for ${duration.toFixed(0)} ms`)
    for (const from of addresses) for (const to of addresses) if (half.has(from) !== half.has(to)) this.simulation.cutLink(from, to, duration)
  }

  /** Empties a disk; its host comes back at the same address, or another one takes its place. */
  #loseDisk (address: string, isReplaced: boolean): void {
    const host = this.#hosts.get(address)
    if (host === undefined) return
    host.replica.kill()
    this.#replicas.delete(host.replica.self.id)
    this.#hosts.delete(address)
    const successorAddress = isReplaced ? `host-${this.#nextAddress}` : address
    if (isReplaced) this.#nextAddress += 1
    const backAfterMs = 300 + this.simulation.random() * 700
    const successor = this.#start(this.#newReplica(successorAddress), EMPTY_DISK)
    successor.replica.kill()
    successor.lostUntil = this.simulation.now() + backAfterMs + CATCH_UP_MS
    successor.slowUntil = this.simulation.chance(0.5) && !isReplaced ? this.simulation.now() + this.simulation.random() * MAX_SLOW_TRANSFER_MS : 0
    this.simulation.log(`${address} lost its disk; ${successor.replica.self.id} comes back after ${backAfterMs.toFixed(0)} ms, entries reach it from ${successor.slowUntil.toFixed(0)} ms on`)
    this.simulation.schedule(backAfterMs, () => {
      if (!this.#replicas.has(successor.replica.self.id)) return
      successor.replica.restart()
      this.#joinLoop(successor.replica, address)
    })
  }

  /** Asks all hosts at intervals, as the joining host does, until its own log shows it as a voter. */
  #joinLoop (replica: SimulatedReplica, formerAddress: string): void {
    this.simulation.schedule(JOIN_INTERVAL_MS, () => {
      const { self, core: { membership } } = replica
      if (!this.#replicas.has(self.id) || membership.voters.some(voter => voter.id === self.id)) return
      this.#joinLoop(replica, formerAddress)
      if (!replica.isAlive) return
      for (const [address, host] of this.#hosts) this.simulation.send(self.address, address, () => { this.#requestJoin(host.replica, self) })
    })
  }

  #requestJoin (contact: SimulatedReplica, self: Replica): void {
    contact.change((core, now) => {
      const { voters, learners } = core.membership
      const isLearner = learners.some(learner => learner.id === self.id)
      const former = voters.find(voter => voter.address === self.address && voter.id !== self.id)
      // Without the mechanism the successor is a learner until it has the log, and its former identity votes until then.
      if (this.broken === 'groups-survive-lost-disks' && former !== undefined) {
        const isCaughtUp = core.peerReports.some(({ replica, matchIndex }) => replica.id === self.id && matchIndex >= core.lastIndex - core.settings.promotionLag)
        if (isLearner) return isCaughtUp ? core.remove(former.id, now) : { ok: false, error: { kind: 'change-in-progress' } }
        return core.addLearner({ id: self.id, address: '' }, now)
      }
      return isLearner ? core.promote(self.id, now) : core.addLearner(self, now)
    })
  }

  #checkEnd (): void {
    const leader = this.#leader()
    const describe = (): string => [...this.#replicas.values()].map(({ self, core }) => `${self.id}: ${core.role} of term ${core.term}, log to ${core.lastIndex}, voters ${core.membership.voters.map(({ id }) => id).join(' ')}`).join('; ')
    this.recorder.check('groups-survive-lost-disks', leader !== undefined, () => `no leader ${RECOVERY_MS} ms after the last fault: ${describe()}`)
    if (leader === undefined) return
    const version = leader.state.sites.weights.find(({ model }) => model === 'model')?.version ?? 0
    this.recorder.check('groups-survive-lost-disks', version >= this.#acknowledged, () => `version ${this.#acknowledged} was acknowledged, the leader has ${version}`)
    this.recorder.check('groups-survive-lost-disks', leader.core.committedMembership.voters.length >= HOSTS, () => `not all hosts vote again: ${describe()}`)
  }
}

/** Replicas that do not know each other yet answer over the sender's connection, and the id tells the host. */
function hostOf ({ id, address }: Replica): string {
  return address === '' ? id.replace(/#.*/, '') : address
}
