/**
 * Owns one replica with its Raft core, its storage and its mailbox.
 *
 * All input is queued in the mailbox. The task takes everything that has arrived
 * as one batch, steps the core, syncs all writes of the batch at once, and only
 * then sends messages, applies entries and answers callers. One sync therefore
 * covers all commands of a batch.
 */
import { decode, encode } from '@msgpack/msgpack'
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import type { RaftError } from '@eelgrassmux/consensus/RaftError'
import type { DeliveryReport, LogEntry, Membership, RaftEffects, RaftMessage, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { RaftStorage } from '@eelgrassmux/durable/RaftStorage'
import { assertInvariant, InvariantViolation } from '@eelgrassmux/schema/invariant'
import type { Result } from '@eelgrassmux/schema/Result'
import { decodeCommand, encodeCommand } from '@eelgrassmux/state/commandCodec'
import { stateImageSchema, type Command, type CommandResult, type StampedCommand } from '@eelgrassmux/state/commands'
import type { StateMachine } from '@eelgrassmux/state/StateMachine'
import { DecisionNotifier, type CommandDecision } from './DecisionNotifier.js'
import { newestViewBound, reportMembership, type ReportedMembership } from './logBounds.js'

/** Outcome of a proposed command. */
export type ProposeOutcome =
  | { readonly kind: 'applied', readonly result: CommandResult }
  | { readonly kind: 'not-leader', readonly leader: string }
  | { readonly kind: 'uncertain' }

/** Dependencies and callbacks of the task. */
export interface RaftTaskPorts {
  /** Sends a message, which may be lost. Calls `onOutcome` with false if it was lost and with true once the receiver has it; never for messages whose loss is not noticed. */
  send (to: Replica, message: RaftMessage, onOutcome: (isDelivered: boolean) => void): void
  /** Called after the state machine has changed. */
  applied (): void
  roleChanged (role: string, term: number): void
  /** Called when the decision whether to accept commands has changed, or the membership that it is based on. */
  commandDecided (decision: CommandDecision): void
  /** Called when a write fails while the task is closing. Nothing that depends on the write was sent or answered. */
  lostWhileClosing (error: unknown): void
  /** Called when a write fails or an invariant is violated. The process must then stop. */
  fail (error: unknown): void
}

interface PendingProposal {
  readonly term: number
  readonly resolve: (outcome: ProposeOutcome) => void
}

type MailboxItem =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message', readonly message: RaftMessage }
  | { readonly kind: 'delivery', readonly report: DeliveryReport }
  | { readonly kind: 'propose', readonly command: Command, readonly resolve: (outcome: ProposeOutcome) => void }
  | { readonly kind: 'change', readonly change: (core: RaftCore, now: number) => Result<RaftEffects, RaftError>, readonly resolve: (error: RaftError | undefined) => void }
  | { readonly kind: 'transfer' }
  | { readonly kind: 'read', readonly resolve: (isConfirmed: boolean) => void }

/** Interval at which the core's timers advance, in milliseconds. */
const TICK_INTERVAL_MS = 20

/** Number of log entries after which a snapshot of the state is saved. */
const SNAPSHOT_LOG_ENTRIES = 5000

/** Number of command bytes after which a snapshot is saved, because sites are large and the log is held in memory. */
const SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024

/** Maximum wait for a quorum to confirm a read, in milliseconds. Callers switch to another host after one second. */
const READ_TIMEOUT_MS = 700

/** Length of the mailbox above which messages of other replicas are dropped. */
const MAX_MAILBOX_LENGTH = 4096

/** A read that waits until a quorum confirms this leader. */
interface PendingRead {
  readonly readAt: number
  readonly resolve: (isConfirmed: boolean) => void
}

/** Runs one replica. */
export class RaftTask {
  #mailbox: MailboxItem[] = []
  #isProcessing = false
  #isClosed = false
  #processing: Promise<void> = Promise.resolve()
  #pending = new Map<number, PendingProposal>()
  #reads: PendingRead[] = []
  #appliedIndex: number
  #lastRole = 'follower'
  #syncCount = 0
  readonly #decisionNotifier = new DecisionNotifier(decision => { this.ports.commandDecided(decision) })
  readonly #ticker: NodeJS.Timeout

  /**
   * @param core - Raft protocol state
   * @param storage - persistent storage of the core
   * @param state - state machine that the log is applied to
   * @param ports - dependencies and callbacks
   * @param clock - wall clock in milliseconds, used to timestamp commands
   */
  constructor (
    readonly core: RaftCore,
    private readonly storage: RaftStorage,
    readonly state: StateMachine,
    private readonly ports: RaftTaskPorts,
    private readonly clock: () => number
  ) {
    this.#appliedIndex = core.commitIndex
    const { snapshot } = core
    if (snapshot !== undefined) this.#restore(snapshot.state)
    this.#ticker = setInterval(() => { this.#post({ kind: 'tick' }) }, TICK_INTERVAL_MS)
  }

  get appliedIndex (): number { return this.#appliedIndex }
  /** Number of batches that were synced to the disk. */
  get syncs (): number { return this.#syncCount }
  get membership (): Membership { return this.core.membership }

  /** Upper bound of the view revisions in this replica's log, including uncommitted entries. */
  get newestView (): number { return newestViewBound(this.core, this.#appliedIndex, this.state.viewRevision) }

  /**
   * Returns the latest membership for a status response.
   *
   * @param known - committed log index that the host knows a membership of; 0 or less if it knows none
   */
  reportMembership (known: number): ReportedMembership { return reportMembership(this.core, known) }

  /** @param message - message from another replica */
  receive (message: RaftMessage): void {
    this.#post({ kind: 'message', message })
  }

  /**
   * Proposes a command. The core appends no commands before the group is complete. While the disk refuses writes, nothing
   * is proposed: the command would wait for the disk, and its caller would not know whether it is applied.
   *
   * @param command - command to apply
   * @returns the outcome; `not-leader` with an empty leader address while the group is incomplete
   */
  async propose (command: Command): Promise<ProposeOutcome> {
    if (this.storage.isDiskRefusing) return { kind: 'not-leader', leader: this.core.role === 'leader' ? '' : this.core.leader?.address ?? '' }
    return await new Promise(resolve => { this.#post({ kind: 'propose', command, resolve }) })
  }

  /**
   * Changes the membership through the core.
   *
   * @param change - calls the method of the core that makes the change
   * @returns the reason for a refusal, or undefined
   */
  async change (change: (core: RaftCore, now: number) => Result<RaftEffects, RaftError>): Promise<RaftError | undefined> {
    return await new Promise(resolve => { this.#post({ kind: 'change', change, resolve }) })
  }

  /**
   * Waits until a quorum has confirmed this leader after the call, so that the
   * applied state includes everything that was acknowledged before the call.
   *
   * @returns false if this replica is not the leader, its disk refuses writes, or no quorum answers in time
   */
  async confirmRead (): Promise<boolean> {
    if (this.storage.isDiskRefusing) return false
    return await new Promise(resolve => { this.#post({ kind: 'read', resolve }) })
  }

  /** Transfers leadership to another replica before a graceful shutdown. */
  transfer (): void {
    this.#post({ kind: 'transfer' })
  }

  /** Stops the task and closes the storage. */
  async close (): Promise<void> {
    this.#isClosed = true
    clearInterval(this.#ticker)
    this.storage.stopWaiting()
    // The batch in progress may still write, so the file must stay open until it ends.
    await this.#processing
    await this.storage.close()
  }

  #post (item: MailboxItem): void {
    if (this.#isClosed || this.#isRedundant(item)) return
    this.#mailbox.push(item)
    if (this.#isProcessing) return
    this.#isProcessing = true
    setImmediate(() => { this.#processing = this.#processMailbox().catch((error: unknown) => { this.#handleFailure(error) }) })
  }

  /** While a write takes long, one tick is as good as many, and messages may be lost. */
  #isRedundant ({ kind }: MailboxItem): boolean {
    if (kind === 'tick') return this.#mailbox.some(item => item.kind === 'tick')
    return kind === 'message' && this.#mailbox.length >= MAX_MAILBOX_LENGTH
  }

  #handleFailure (error: unknown): void {
    const isWriteLostOnClose = this.#isClosed && !(error instanceof InvariantViolation)
    if (isWriteLostOnClose) this.ports.lostWhileClosing(error)
    else this.ports.fail(error)
  }

  async #processMailbox (): Promise<void> {
    while (this.#mailbox.length > 0 && !this.#isClosed) {
      const batch = this.#mailbox
      this.#mailbox = []
      const effects = batch.flatMap(item => this.#step(item))
      const writes = effects.flatMap(effect => effect.writes)
      if (writes.length > 0) {
        this.#syncCount += 1
        await this.storage.persist(writes)
      }
      for (const effect of effects) this.#executeEffects(effect)
      this.#resolveReads()
      this.#reportRoleChange()
      await this.#snapshotIfDue()
    }
    this.#isProcessing = false
  }

  #step (item: MailboxItem): RaftEffects[] {
    const now = performance.now()
    switch (item.kind) {
      case 'tick': return [this.core.tick(now)]
      case 'message': return [this.core.receive(item.message, now)]
      case 'delivery':
        this.core.reportDelivery(item.report)
        return []
      case 'transfer': return [this.core.transferLeadership(now)]
      case 'read': {
        this.#reads.push({ readAt: now, resolve: item.resolve })
        // Answers to earlier messages carry earlier timestamps and do not confirm this read.
        return [this.core.probeQuorum(performance.now())]
      }
      case 'propose': return this.#stepProposal(item.command, item.resolve, now)
      case 'change': {
        const changed = item.change(this.core, now)
        item.resolve(changed.ok ? undefined : changed.error)
        return changed.ok ? [changed.value] : []
      }
    }
  }

  #stepProposal (command: Command, resolve: (outcome: ProposeOutcome) => void, now: number): RaftEffects[] {
    const stamped: StampedCommand = { stampedAt: this.clock(), command }
    const { formation } = this.core
    const proposed = this.core.propose(encodeCommand(stamped), now)
    const isHeldBack = !proposed.ok && proposed.error.kind === 'forming'
    if (proposed.ok || isHeldBack) this.#decisionNotifier.observe({ isTaken: proposed.ok, term: this.core.term, formation })
    if (!proposed.ok) {
      const leader = proposed.error.kind === 'not-leader' ? proposed.error.leader?.address ?? '' : ''
      resolve({ kind: 'not-leader', leader })
      return []
    }
    const { index, term, effects } = proposed.value
    this.#pending.get(index)?.resolve({ kind: 'uncertain' })
    this.#pending.set(index, { term, resolve })
    return [effects]
  }

  #resolveReads (): void {
    if (this.#reads.length === 0) return
    const now = performance.now()
    this.#reads = this.#reads.filter(({ readAt, resolve }) => {
      const isConfirmed = this.core.isReadConfirmed(readAt, now)
      const hasFailed = this.core.role !== 'leader' || now - readAt > READ_TIMEOUT_MS
      if (isConfirmed || hasFailed) resolve(isConfirmed)
      return !isConfirmed && !hasFailed
    })
  }

  #executeEffects (effects: RaftEffects): void {
    for (const { to, message } of effects.messages) this.#send(to, message)
    if (effects.installed !== undefined) {
      this.#restore(effects.installed.state)
      this.#appliedIndex = effects.installed.index
      this.ports.applied()
    }
    for (const entry of effects.committed) this.#apply(entry)
    if (effects.committed.length > 0) this.ports.applied()
  }

  #send (to: Replica, message: RaftMessage): void {
    this.ports.send(to, message, isDelivered => {
      if (!('sentAt' in message)) return
      this.#post({ kind: 'delivery', report: { to: to.id, term: message.term, sentAt: message.sentAt, isDelivered } })
    })
  }

  #apply (entry: LogEntry): void {
    if (entry.index <= this.#appliedIndex) return
    assertInvariant(entry.index === this.#appliedIndex + 1, 'apply-in-order', () => `${entry.index} after ${this.#appliedIndex}`)
    this.#appliedIndex = entry.index
    const result: CommandResult = entry.kind === 'command'
      ? this.state.apply(decodeCommand(entry.command))
      : { kind: 'done' }
    const pending = this.#pending.get(entry.index)
    if (pending === undefined) return
    this.#pending.delete(entry.index)
    // An entry with another term at this index means that another leader has overwritten the proposal.
    pending.resolve(pending.term === entry.term ? { kind: 'applied', result } : { kind: 'uncertain' })
  }

  #reportRoleChange (): void {
    const { role, term } = this.core
    if (role === this.#lastRole) return
    this.#lastRole = role
    this.ports.roleChanged(role, term)
    if (role === 'leader') return
    for (const { resolve } of this.#pending.values()) resolve({ kind: 'uncertain' })
    this.#pending.clear()
  }

  async #snapshotIfDue (): Promise<void> {
    if (this.core.logLength < SNAPSHOT_LOG_ENTRIES && this.core.logBytes < SNAPSHOT_LOG_BYTES) return
    if (this.#appliedIndex <= (this.core.snapshot?.index ?? 0)) return
    const effects = this.core.compact(this.#appliedIndex, encode(this.state.image(), { ignoreUndefined: true }))
    await this.storage.persist(effects.writes)
  }

  #restore (image: Uint8Array): void {
    this.state.restore(stateImageSchema.parse(decode(image)))
  }
}
