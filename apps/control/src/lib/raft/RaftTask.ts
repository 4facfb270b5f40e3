/**
 * The task that owns one replica: its core, its storage and its mailbox.
 *
 * All input waits in the mailbox. One turn takes everything that has arrived,
 * steps the core, syncs the writes of the whole turn at once, and only then
 * sends, applies and answers. So one sync serves all commands of a turn.
 */
import { decode, encode } from '@msgpack/msgpack'
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import type { RaftError } from '@eelgrassmux/consensus/RaftError'
import type { LogEntry, Membership, RaftEffects, RaftMessage, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import type { RaftStorage } from '@eelgrassmux/durable/RaftStorage'
import { assertInvariant, InvariantViolation } from '@eelgrassmux/schema/invariant'
import type { Result } from '@eelgrassmux/schema/Result'
import { decodeCommand, encodeCommand } from '@eelgrassmux/state/commandCodec'
import { stateImageSchema, type Command, type CommandResult, type StampedCommand } from '@eelgrassmux/state/commands'
import type { StateMachine } from '@eelgrassmux/state/StateMachine'
import { DecisionNotifier, type CommandDecision } from './DecisionNotifier.js'
import { membershipIndexOf, newestViewBound } from './logBounds.js'

/** What became of a proposed command. */
export type ProposeOutcome =
  | { readonly kind: 'applied', readonly result: CommandResult }
  | { readonly kind: 'not-leader', readonly leader: string }
  | { readonly kind: 'uncertain' }

/** What the task needs from around it. */
export interface RaftTaskPorts {
  /** Sends a message; it may be lost. */
  send (to: Replica, message: RaftMessage): void
  /** Called after the state machine has changed. */
  applied (): void
  roleChanged (role: string, term: number): void
  /** Called when the decision about commands has changed, or what it rests on. */
  commandDecided (decision: CommandDecision): void
  /** Called when a write fails while the task is closing: nothing that hangs on it was sent or answered. */
  lostWhileClosing (error: unknown): void
  /** Called when the disk or an invariant fails; the process must stop. */
  fail (error: unknown): void
}

interface PendingProposal {
  readonly term: number
  readonly resolve: (outcome: ProposeOutcome) => void
}

type MailboxItem =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message', readonly message: RaftMessage }
  | { readonly kind: 'propose', readonly command: Command, readonly resolve: (outcome: ProposeOutcome) => void }
  | { readonly kind: 'change', readonly change: (core: RaftCore, now: number) => Result<RaftEffects, RaftError>, readonly resolve: (error: RaftError | undefined) => void }
  | { readonly kind: 'transfer' }
  | { readonly kind: 'read', readonly resolve: (isConfirmed: boolean) => void }

/** Interval of the core's timers, in milliseconds. */
const TICK_INTERVAL_MS = 20

/** Log entries after which the state is saved as a snapshot. */
const SNAPSHOT_LOG_ENTRIES = 5000

/** Bytes of commands after which it is, too: sites are large, and the log is held in memory. */
const SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024

/** Longest wait for a quorum to confirm a read, in milliseconds; callers turn to another host after a second. */
const READ_TIMEOUT_MS = 700

/** A read that waits for a quorum to follow this leader. */
interface PendingRead {
  readonly readAt: number
  readonly resolve: (isConfirmed: boolean) => void
}

/** Owns one replica. */
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
   * @param core - protocol state
   * @param storage - its disk
   * @param state - what the log drives
   * @param ports - surroundings
   * @param clock - wall clock in milliseconds, to stamp commands
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
  /** Turns that wrote to the disk; one sync each. */
  get syncs (): number { return this.#syncCount }
  get membership (): Membership { return this.core.membership }

  /** Upper bound of any view in this replica's log, committed or not. */
  get newestView (): number { return newestViewBound(this.core, this.#appliedIndex, this.state.viewRevision) }
  /** Index of the log entry that set the membership in force. */
  get membershipIndex (): number { return membershipIndexOf(this.core) }

  /** @param message - a message from another replica */
  receive (message: RaftMessage): void {
    this.#post({ kind: 'message', message })
  }

  /**
   * Proposes a command; the core appends none before the group is formed.
   *
   * @param command - what to apply
   * @returns what became of it; `not-leader` without a leader's name while the group forms
   */
  async propose (command: Command): Promise<ProposeOutcome> {
    return await new Promise(resolve => { this.#post({ kind: 'propose', command, resolve }) })
  }

  /**
   * Changes the membership through the core.
   *
   * @param change - the core's method to call
   * @returns why it was refused, or undefined
   */
  async change (change: (core: RaftCore, now: number) => Result<RaftEffects, RaftError>): Promise<RaftError | undefined> {
    return await new Promise(resolve => { this.#post({ kind: 'change', change, resolve }) })
  }

  /**
   * Waits until a quorum has followed this leader after the call, so that the
   * applied state is as new as anything acknowledged before it.
   *
   * @returns false on any other replica, and when no quorum answers in time
   */
  async confirmRead (): Promise<boolean> {
    return await new Promise(resolve => { this.#post({ kind: 'read', resolve }) })
  }

  /** Hands leadership over, for a planned stop. */
  transfer (): void {
    this.#post({ kind: 'transfer' })
  }

  /** Stops the task and closes the storage. */
  async close (): Promise<void> {
    this.#isClosed = true
    clearInterval(this.#ticker)
    // A turn under way may still write; the file must stay open for it.
    await this.#processing
    await this.storage.close()
  }

  #post (item: MailboxItem): void {
    if (this.#isClosed) return
    this.#mailbox.push(item)
    if (this.#isProcessing) return
    this.#isProcessing = true
    setImmediate(() => { this.#processing = this.#processMailbox().catch((error: unknown) => { this.#handleFailure(error) }) })
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
      case 'transfer': return [this.core.transferLeadership(now)]
      case 'read': {
        this.#reads.push({ readAt: now, resolve: item.resolve })
        // Answers to earlier messages carry earlier times and don't confirm it.
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
    for (const { to, message } of effects.messages) this.ports.send(to, message)
    if (effects.installed !== undefined) {
      this.#restore(effects.installed.state)
      this.#appliedIndex = effects.installed.index
      this.ports.applied()
    }
    for (const entry of effects.committed) this.#apply(entry)
    if (effects.committed.length > 0) this.ports.applied()
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
    // Another leader's entry at this index means that the proposal was overwritten.
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
