import { describe, expect, it } from 'vitest'
import type { PersistentState, RaftEffects, RaftMessage, Replica } from './messages/raftMessages.js'
import { RaftCore } from './RaftCore.js'
import { DEFAULT_RAFT_SETTINGS } from './RaftSettings.js'

const BYTES_PER_MS = 10_000
const LATENCY_MS = 1
const TICK_INTERVAL_MS = 20
const COMMAND_BYTES = 20_000
const COMMANDS = 300

/** Time after which a call that has not been delivered is given up, in milliseconds. */
const CALL_TIMEOUT_MS = 1000

const EMPTY: PersistentState = { term: 0, votedFor: undefined, snapshot: undefined, entries: [] }
const LEADER: Replica = { id: 'a', address: 'a' }
const LEARNER: Replica = { id: 'd', address: 'd' }

/** A leader with a long log, and a learner with an empty disk behind a link of limited bandwidth that short messages overtake. */
class SlowLink {
  readonly leader = new RaftCore(LEADER, EMPTY, DEFAULT_RAFT_SETTINGS, () => 0.5, 0)
  readonly learner = new RaftCore(LEARNER, EMPTY, DEFAULT_RAFT_SETTINGS, () => 0.5, 0)
  now = 0
  sentBytes = 0
  /** Positions of calls that are lost, counted from the first. */
  readonly lostCalls = new Set<number>()
  #calls = 0
  #linkFreeAt = 0
  readonly #due: Array<{ at: number, run: () => void }> = []

  constructor () {
    this.#run(this.leader.bootstrap(0))
    this.#run(this.leader.tick(0))
    for (let index = 0; index < COMMANDS; index += 1) {
      const proposed = this.leader.propose(new Uint8Array(COMMAND_BYTES), 0)
      if (!proposed.ok) throw new Error(proposed.error.kind)
    }
    const added = this.leader.addLearner(LEARNER, 0)
    if (!added.ok) throw new Error(added.error.kind)
    this.#run(added.value)
  }

  get isCaughtUp (): boolean { return this.learner.lastIndex === this.leader.lastIndex }

  /** Advances the time in steps of a millisecond. */
  runUntil (end: number, isReached: () => boolean): void {
    for (; this.now < end && !isReached(); this.now += 1) {
      for (const event of this.#due.splice(0)) {
        if (event.at > this.now) this.#due.push(event)
        else event.run()
      }
      if (this.now % TICK_INTERVAL_MS === 0) this.#run(this.leader.tick(this.now))
    }
  }

  #run (effects: RaftEffects): void {
    for (const { to, message } of effects.messages) this.#send(to.id === LEADER.id ? this.leader : this.learner, message)
  }

  #send (to: RaftCore, message: RaftMessage): void {
    const bytes = bulkBytes(message)
    const sentAt = this.now
    if (bytes > 0) this.#calls += 1
    this.sentBytes += bytes
    this.#linkFreeAt = Math.max(this.#linkFreeAt, this.now) + bytes / BYTES_PER_MS
    const arrivesAt = (bytes > 0 ? this.#linkFreeAt : this.now) + LATENCY_MS
    const isLost = bytes > 0 && (arrivesAt - sentAt > CALL_TIMEOUT_MS || this.lostCalls.has(this.#calls))
    const at = isLost ? sentAt + CALL_TIMEOUT_MS : arrivesAt
    this.#due.push({
      at,
      run: () => {
        if (bytes > 0) this.leader.reportDelivery({ to: to.self.id, term: message.term, sentAt, isDelivered: !isLost })
        if (!isLost) this.#run(to.receive(message, this.now))
      }
    })
  }
}

/** Bytes of the commands or of the snapshot in a message; 0 for short messages, which are sent as datagrams. */
function bulkBytes (message: RaftMessage): number {
  if (message.kind === 'snapshot-request') return message.snapshot.state.length
  if (message.kind !== 'append-request') return 0
  return message.entries.reduce((sum, entry) => sum + (entry.kind === 'command' ? entry.command.length : 0), 0)
}

describe('replication over a slow link', () => {
  // Guards against a replica that never caught up, because each rejected heartbeat sent the same entries again until every call timed out.
  it('sends a log of 6 MB about once, and the replica has it within a second', () => {
    const link = new SlowLink()
    link.runUntil(1000, () => link.isCaughtUp)
    expect(link.isCaughtUp).toBe(true)
    expect(link.sentBytes).toBeLessThan(1.2 * COMMANDS * COMMAND_BYTES)
  })

  // Guards against a lost message after which everything that follows is sent again as well.
  it('sends nothing twice but what was lost', () => {
    const link = new SlowLink()
    for (const lost of [1, 4, 5, 9]) link.lostCalls.add(lost)
    link.runUntil(10_000, () => link.isCaughtUp)
    expect(link.isCaughtUp).toBe(true)
    expect(link.sentBytes).toBeLessThan(COMMANDS * COMMAND_BYTES + 5 * DEFAULT_RAFT_SETTINGS.maxBytesPerAppend)
  })
})
