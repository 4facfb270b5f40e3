import { describe, expect, it } from 'vitest'
import { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { DEFAULT_RAFT_SETTINGS } from '@eelgrassmux/consensus/RaftSettings'
import type { Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { findSurplusReplica, LEARNER_SILENCE_MS, removeIfStillSurplus, SURPLUS_VOTER_SILENCE_MS } from './surplusReplicas.js'

const replica = (id: string): Replica => ({ id, address: `10.0.0.${id.length}:${id}` })

/** A leader with simulated peers, which answer until they are silenced. */
class SimulatedGroup {
  readonly leader = new RaftCore(replica('self'), { term: 0, votedFor: undefined, snapshot: undefined, entries: [] }, DEFAULT_RAFT_SETTINGS, () => 0.5, 0)
  readonly #answering = new Set<string>()
  now = 0

  constructor (...voters: string[]) {
    this.leader.bootstrap(0)
    this.run(1)
    for (const voter of voters) {
      this.#answering.add(voter)
      this.leader.addLearner(replica(voter), this.now)
      this.run(100)
      this.leader.promote(voter, this.now)
      this.run(100)
    }
  }

  silence (id: string): void {
    this.#answering.delete(id)
  }

  add (id: string, isAnswering = true): void {
    if (isAnswering) this.#answering.add(id)
    this.leader.addLearner(replica(id), this.now)
  }

  /** Runs in steps of 10 ms. Answering peers accept all entries sent to them. */
  run (forMs: number): void {
    for (const end = this.now + forMs; this.now < end; this.now += 10) {
      let effects = this.leader.tick(this.now)
      for (let round = 0; round < 5 && effects.messages.length > 0; round += 1) {
        const { messages } = effects
        effects = { writes: [], messages: [], committed: [], installed: undefined }
        for (const { to, message } of messages) {
          if (message.kind !== 'append-request') continue
          const isDelivered = this.#answering.has(to.id)
          this.leader.reportDelivery({ to: to.id, term: message.term, sentAt: message.sentAt, isDelivered })
          if (!isDelivered) continue
          const answer = this.leader.receive({
            kind: 'append-response', from: to.id, term: message.term, success: true, matchIndex: message.previousIndex + message.entries.length, sentAt: message.sentAt
          }, this.now)
          effects.messages.push(...answer.messages)
        }
      }
    }
  }

  surplus (target: number | undefined): string | undefined {
    return findSurplusReplica(this.leader, target, this.now)?.id
  }
}

describe('findSurplusReplica', () => {
  it('keeps a silent voter while it has no replacement', () => {
    const group = new SimulatedGroup('a', 'b', 'c', 'd')
    group.silence('d')
    group.run(SURPLUS_VOTER_SILENCE_MS * 3)
    expect(group.surplus(5)).toBeUndefined()
  })

  // Guards against a group without a configured size that shrank while a host restarted, and lost its quorum with the next host.
  it('keeps a silent voter of a group whose size is not configured', () => {
    const group = new SimulatedGroup('a', 'b')
    group.silence('b')
    group.run(SURPLUS_VOTER_SILENCE_MS * 3)
    expect(group.surplus(undefined)).toBeUndefined()
    expect(group.leader.membership.voters.map(voter => voter.id)).toContain('b')
  })

  it('returns the silent voter once there is one voter more than needed', () => {
    const group = new SimulatedGroup('a', 'b', 'c', 'd', 'successor')
    group.silence('b')
    group.run(SURPLUS_VOTER_SILENCE_MS - 500)
    expect(group.surplus(5)).toBeUndefined()
    group.run(1000)
    expect(group.surplus(5)).toBe('b')
  })

  it('does not consider a newly added learner silent, regardless of how long the leader has led', () => {
    const group = new SimulatedGroup('a', 'b', 'c', 'd')
    group.run(LEARNER_SILENCE_MS * 2)
    group.add('late', false)
    group.run(200)
    expect(group.leader.isMembershipPending).toBe(false)
    expect(group.surplus(5)).toBeUndefined()
  })

  it('returns a learner that has become silent', () => {
    const group = new SimulatedGroup('a', 'b', 'c', 'd')
    group.add('late')
    group.run(500)
    group.silence('late')
    group.run(LEARNER_SILENCE_MS + 500)
    expect(group.surplus(5)).toBe('late')
  })
})

describe('removeIfStillSurplus', () => {
  it('leaves the group unchanged if a host has removed its earlier id in the meantime', () => {
    const group = new SimulatedGroup('a', 'b', 'c', 'd', 'successor')
    group.silence('b')
    group.run(SURPLUS_VOTER_SILENCE_MS + 500)
    expect(group.surplus(5)).toBe('b')
    group.leader.remove('d', group.now)
    group.run(100)
    expect(group.leader.committedMembership.voters).toHaveLength(5)
    expect(removeIfStillSurplus(group.leader, 'b', 5, group.now)).toEqual({ ok: false, error: { kind: 'change-in-progress' } })
    expect(group.leader.membership.voters).toHaveLength(5)
  })

  it('removes a replica that is still surplus', () => {
    const group = new SimulatedGroup('a', 'b', 'c', 'd', 'successor')
    group.silence('b')
    group.run(SURPLUS_VOTER_SILENCE_MS + 500)
    expect(removeIfStillSurplus(group.leader, 'b', 5, group.now).ok).toBe(true)
    expect(group.leader.membership.voters.map(voter => voter.id)).not.toContain('b')
  })
})

describe('RaftCore.isReadConfirmed', () => {
  it('requires confirmation by a quorum after the start of the read, regardless of the lease', () => {
    const group = new SimulatedGroup('a', 'b')
    const readAt = group.now
    expect(group.leader.holdsLease(group.now)).toBe(true)
    expect(group.leader.isReadConfirmed(readAt, group.now)).toBe(false)
    group.run(100)
    expect(group.leader.isReadConfirmed(readAt, group.now)).toBe(true)
  })

  it('stays false while no quorum can be reached', () => {
    const group = new SimulatedGroup('a', 'b')
    group.silence('a')
    group.silence('b')
    const readAt = group.now
    group.run(200)
    expect(group.leader.isReadConfirmed(readAt, group.now)).toBe(false)
  })
})
