import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { DEFAULT_RAFT_SETTINGS } from '@eelgrassmux/consensus/RaftSettings'
import type { LogEntry, Membership, RaftMessage } from '@eelgrassmux/consensus/messages/raftMessages'
import type { RaftStorage } from '@eelgrassmux/durable/RaftStorage'
import { DEFAULT_STATE_SETTINGS, StateMachine } from '@eelgrassmux/state/StateMachine'
import { changeMembership } from './changeMembership.js'
import { RaftTask } from './RaftTask.js'

const VOTERS = ['a', 'b', 'c'].map(id => ({ id, address: id }))
const MEMBERSHIP: Membership = { voters: VOTERS, learners: [] }
const FOUNDING: LogEntry = { kind: 'membership', index: 1, term: 1, membership: MEMBERSHIP }

describe('changeMembership', () => {
  let task: RaftTask

  beforeEach(() => {
    const core = new RaftCore(
      { id: 'a', address: 'a' }, { term: 1, votedFor: undefined, snapshot: undefined, entries: [FOUNDING] },
      { ...DEFAULT_RAFT_SETTINGS, electionTimeoutMs: 1_000_000, leaseMs: 1_000_000 }, () => 0, 0
    )
    const storage = { persist: async () => {}, close: async () => {}, stopWaiting: () => {} } as unknown as RaftStorage
    task = new RaftTask(core, storage, new StateMachine(DEFAULT_STATE_SETTINGS), {
      send: () => {}, applied: () => {}, roleChanged: () => {}, commandDecided: () => {}, lostWhileClosing: error => { throw error }, fail: error => { throw error }
    }, Date.now)
  })

  afterEach(async () => { await task.close() })

  /** Delivers a message to the replica through its mailbox and waits until it is processed. */
  async function receive (message: RaftMessage): Promise<void> {
    await task.change((core, now) => ({ ok: true, value: core.receive(message, now) }))
  }

  const acknowledge = async (matchIndex: number): Promise<void> => {
    await receive({ kind: 'append-response', from: 'b', term: task.core.term, success: true, matchIndex, sentAt: performance.now() })
  }

  async function lead (): Promise<void> {
    await receive({ kind: 'timeout-now', from: 'b', term: 1 })
    await receive({ kind: 'vote-response', from: 'b', term: 2, preVote: false, granted: true, askedTerm: 2 })
    expect(task.core.role).toBe('leader')
    await acknowledge(2)
    expect(task.core.commitIndex).toBe(2)
  }

  it('returns `done` once the change is committed', async () => {
    await lead()
    const answer = changeMembership(task, { kind: 'remove', id: 'c' })
    await acknowledge(3)
    expect(await answer).toEqual({ kind: 'done' })
    expect(task.core.committedMembership.voters.map(voter => voter.id)).toEqual(['a', 'b'])
  })

  it('refuses the change if another leader has overwritten it', async () => {
    await lead()
    const answer = changeMembership(task, { kind: 'remove', id: 'c' })
    await receive({
      kind: 'append-request', from: 'b', term: 3, previousIndex: 2, previousTerm: 2, entries: [{ kind: 'empty', index: 3, term: 3 }], commitIndex: 3, sentAt: 0
    })
    expect(task.core.isMembershipPending).toBe(false)
    expect(await answer).toEqual({ kind: 'refused', reason: 'not-committed' })
    expect(task.core.committedMembership).toEqual(MEMBERSHIP)
  })

  it('returns the leader on any other replica, regardless of its own membership', async () => {
    await receive({ kind: 'append-request', from: 'b', term: 2, previousIndex: 1, previousTerm: 1, entries: [], commitIndex: 1, sentAt: 0 })
    expect(await changeMembership(task, { kind: 'add-learner', replica: { id: 'c', address: 'c' } })).toEqual({ kind: 'not-leader', leader: 'b' })
    expect(await changeMembership(task, { kind: 'remove', id: 'gone' })).toEqual({ kind: 'not-leader', leader: 'b' })
  })
})
