/** A control replica in virtual time: real core, real state machine, a disk that forgets what was not synced. */
import { membershipIndexOf, newestViewBound } from '@eelgrassmux/control/raft/logBounds'
import { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import type { RaftError } from '@eelgrassmux/consensus/RaftError'
import type { LogEntry, PersistentState, RaftEffects, RaftMessage, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { PersistentImage } from '@eelgrassmux/durable/PersistentImage'
import type { Result } from '@eelgrassmux/schema/Result'
import { decodeCommand, encodeCommand } from '@eelgrassmux/state/commandCodec'
import type { Command, CommandResult } from '@eelgrassmux/state/commands'
import { StateMachine } from '@eelgrassmux/state/StateMachine'
import { decode, encode } from '@msgpack/msgpack'
import { stateImageSchema } from '@eelgrassmux/state/commands'
import type { Simulation } from '../Simulation.js'

/** Timing of the simulated replicas; short leases make faults bite often. */
export const SIMULATED_RAFT = { heartbeatMs: 50, electionTimeoutMs: 300, leaseMs: 240, maxEntriesPerAppend: 16, maxBytesPerAppend: 1024 * 1024, promotionLag: 4, minimumVoters: 1 }

/** What became of a proposed command. */
export type SimulatedOutcome =
  | { readonly kind: 'applied', readonly result: CommandResult }
  | { readonly kind: 'not-leader', readonly leader: string | undefined }
  | { readonly kind: 'uncertain' }

/** Mechanisms of a replica that a world can take away to see that its checks find it. */
export interface ReplicaMechanisms {
  /** Effects wait for the sync of their writes. */
  readonly syncsBeforeEffects: boolean
  /** Committed voters that its group needs before it takes a command. */
  readonly minimumVoters: number
  /** Whether the group is formed is asked in the step that appends, and not when the command arrives. */
  readonly checksVotersOnAppend: boolean
}

export const ALL_MECHANISMS: ReplicaMechanisms = { syncsBeforeEffects: true, minimumVoters: 1, checksVotersOnAppend: true }

/** What a replica needs from its world. */
export interface ReplicaPorts {
  send (from: Replica, to: Replica, message: RaftMessage): void
  applied (replica: SimulatedReplica, entry: LogEntry): void
}

const TICK_INTERVAL_MS = 20

/** Log entries after which a snapshot is taken. */
const SNAPSHOT_THRESHOLD_ENTRIES = 40

type Input = (now: number) => RaftEffects | undefined

/** One replica with its disk. */
export class SimulatedReplica {
  core: RaftCore
  state = new StateMachine()
  isAlive = true
  readonly #disk: PersistentImage
  #inputs: Input[] = []
  #isBusy = false
  #incarnation = 0
  #frozenUntil = 0
  #appliedIndex: number
  #pending = new Map<number, { term: number, resolve: (outcome: SimulatedOutcome) => void }>()

  /**
   * @param simulation - schedule
   * @param self - id and address
   * @param disk - what the disk holds at first
   * @param mechanisms - what holds its promises
   * @param ports - surroundings
   */
  constructor (
    private readonly simulation: Simulation,
    readonly self: Replica,
    disk: PersistentState,
    private readonly mechanisms: ReplicaMechanisms,
    private readonly ports: ReplicaPorts
  ) {
    this.#disk = new PersistentImage(disk)
    this.core = this.#newCore()
    this.#appliedIndex = this.core.commitIndex
    this.#tick()
  }

  get appliedIndex (): number { return this.#appliedIndex }

  /** Upper bound of any view in the log. */
  get newestView (): number { return newestViewBound(this.core, this.#appliedIndex, this.state.viewRevision) }
  /** Index of the entry that set the membership. */
  get membershipIndex (): number { return membershipIndexOf(this.core) }

  /** @param message - from another replica */
  receive (message: RaftMessage): void {
    this.#enqueue(now => this.core.receive(message, now))
  }

  /**
   * @param command - what to apply
   * @param resolve - told what became of it
   */
  propose (command: Command, resolve: (outcome: SimulatedOutcome) => void): void {
    if (!this.mechanisms.checksVotersOnAppend && this.#isKnownIncomplete()) {
      resolve({ kind: 'not-leader', leader: undefined })
      return
    }
    this.#enqueue(now => {
      const proposed = this.core.propose(encodeCommand({ stampedAt: this.simulation.wallClock(), command }), now)
      if (!proposed.ok) {
        const leader = proposed.error.kind === 'not-leader' ? proposed.error.leader?.id : undefined
        resolve({ kind: 'not-leader', leader })
        return undefined
      }
      this.#pending.get(proposed.value.index)?.resolve({ kind: 'uncertain' })
      this.#pending.set(proposed.value.index, { term: proposed.value.term, resolve })
      return proposed.value.effects
    })
  }

  /** @param change - a membership change of the core */
  change (change: (core: RaftCore, now: number) => Result<RaftEffects, RaftError>): void {
    this.#enqueue(now => {
      const changed = change(this.core, now)
      return changed.ok ? changed.value : undefined
    })
  }

  /** @param milliseconds - how long the process stands still */
  freeze (milliseconds: number): void {
    this.#frozenUntil = this.simulation.now() + milliseconds
  }

  /** Ends the process; what was not synced is gone. */
  kill (): void {
    this.isAlive = false
    this.#incarnation += 1
    this.#inputs = []
    this.#pending.clear()
    this.#isBusy = false
  }

  /** Starts the process again from its disk. */
  restart (): void {
    this.isAlive = true
    this.state = new StateMachine()
    this.core = this.#newCore()
    this.#appliedIndex = this.core.commitIndex
    this.#tick()
  }

  #newCore (): RaftCore {
    const minimumVoters = this.mechanisms.checksVotersOnAppend ? this.mechanisms.minimumVoters : 1
    const core = new RaftCore(this.self, this.#disk.state(), { ...SIMULATED_RAFT, minimumVoters }, this.simulation.random, this.simulation.now())
    if (core.snapshot !== undefined) this.state.restore(stateImageSchema.parse(decode(core.snapshot.state)))
    return core
  }

  /** Only a leader knows; what it knows may be outdated by the time it appends. */
  #isKnownIncomplete (): boolean {
    return this.core.role === 'leader' && this.core.committedMembership.voters.length < this.mechanisms.minimumVoters
  }

  #tick (): void {
    const incarnation = this.#incarnation
    this.simulation.schedule(TICK_INTERVAL_MS, () => {
      if (incarnation !== this.#incarnation) return
      this.#enqueue(now => this.core.tick(now))
      this.#tick()
    })
  }

  #enqueue (input: Input): void {
    if (!this.isAlive) return
    this.#inputs.push(input)
    this.#processInputs()
  }

  #processInputs (): void {
    if (this.#isBusy || this.#inputs.length === 0) return
    const now = this.simulation.now()
    if (now < this.#frozenUntil) {
      const incarnation = this.#incarnation
      this.#isBusy = true
      this.simulation.schedule(this.#frozenUntil - now, () => {
        if (incarnation !== this.#incarnation) return
        this.#isBusy = false
        this.#processInputs()
      })
      return
    }
    const inputs = this.#inputs
    this.#inputs = []
    const effects = inputs.map(input => input(now)).filter(effect => effect !== undefined)
    this.#syncAndApply(effects)
  }

  #syncAndApply (effects: readonly RaftEffects[]): void {
    const writes = effects.flatMap(effect => effect.writes)
    const incarnation = this.#incarnation
    this.#isBusy = true
    if (!this.mechanisms.syncsBeforeEffects) for (const effect of effects) this.#applyEffects(effect)
    const syncMs = writes.length === 0 ? 0 : 0.5 + this.simulation.random() * (this.mechanisms.syncsBeforeEffects ? 4 : 200)
    this.simulation.schedule(syncMs, () => {
      if (incarnation !== this.#incarnation) return
      for (const write of writes) this.#disk.take(write)
      this.#isBusy = false
      if (this.mechanisms.syncsBeforeEffects) for (const effect of effects) this.#applyEffects(effect)
      this.#maybeSnapshot()
      this.#processInputs()
    })
  }

  #applyEffects (effects: RaftEffects): void {
    for (const { to, message } of effects.messages) this.ports.send(this.self, to, message)
    if (effects.installed !== undefined) {
      this.state.restore(stateImageSchema.parse(decode(effects.installed.state)))
      this.#appliedIndex = effects.installed.index
    }
    for (const entry of effects.committed) this.#apply(entry)
    if (this.core.role !== 'leader') {
      for (const { resolve } of this.#pending.values()) resolve({ kind: 'uncertain' })
      this.#pending.clear()
    }
  }

  #apply (entry: LogEntry): void {
    if (entry.index <= this.#appliedIndex) return
    this.#appliedIndex = entry.index
    const result: CommandResult = entry.kind === 'command' ? this.state.apply(decodeCommand(entry.command)) : { kind: 'done' }
    this.ports.applied(this, entry)
    const pending = this.#pending.get(entry.index)
    this.#pending.delete(entry.index)
    pending?.resolve(pending.term === entry.term ? { kind: 'applied', result } : { kind: 'uncertain' })
  }

  #maybeSnapshot (): void {
    if (this.core.logLength < SNAPSHOT_THRESHOLD_ENTRIES || this.#appliedIndex <= (this.core.snapshot?.index ?? 0)) return
    const effects = this.core.compact(this.#appliedIndex, encode(this.state.image(), { ignoreUndefined: true }))
    this.#syncAndApply([effects])
  }
}
