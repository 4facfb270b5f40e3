import { describe, expect, it } from 'vitest'
import type { LogEntry, PersistentState, RaftEffects, Replica } from './messages/raftMessages.js'
import { RaftCore } from './RaftCore.js'
import { DEFAULT_RAFT_SETTINGS } from './RaftSettings.js'

const STEP_MS = 10
const VOTERS = 5

const replicaAt = (host: string, life = 1): Replica => ({ id: `${host}-${life}`, address: host })
const MEMBERSHIP: LogEntry = { kind: 'membership', index: 1, term: 1, membership: { voters: ['a', 'b', 'c', 'd', 'e'].map(host => replicaAt(host)), learners: [] } }

/** Five hosts whose disks can be lost. Replicas that rejoin are never sent the log, as if their links were too slow. */
class Hosts {
  readonly cores = new Map<string, RaftCore>()
  readonly down = new Set<string>()
  readonly starved = new Set<string>()
  now = 0

  constructor () {
    for (const host of ['a', 'b', 'c', 'd', 'e']) this.#start(replicaAt(host), { term: 1, votedFor: undefined, snapshot: undefined, entries: [MEMBERSHIP] })
  }

  get leader (): RaftCore | undefined {
    return [...this.cores].filter(([host]) => !this.down.has(host)).map(([, core]) => core).find(core => core.canRead(this.now))
  }

  run (forMs: number): void {
    for (const end = this.now + forMs; this.now < end; this.now += STEP_MS) {
      for (const [host, core] of this.cores) if (!this.down.has(host)) this.#deliver(core, core.tick(this.now))
    }
  }

  loseDisk (host: string, life: number): void {
    this.starved.add(host)
    this.#start(replicaAt(host, life), { term: 0, votedFor: undefined, snapshot: undefined, entries: [] })
  }

  start (host: string): Replica {
    const self = replicaAt(host)
    this.#start(self, { term: 0, votedFor: undefined, snapshot: undefined, entries: [] })
    return self
  }

  requestPromotion (host: string, life = 1): string {
    const { leader } = this
    const promoted = leader?.promote(replicaAt(host, life).id, this.now)
    if (leader !== undefined && promoted?.ok === true) this.#deliver(leader, promoted.value)
    return promoted?.ok === true ? 'done' : promoted?.error.kind ?? 'no leader'
  }

  requestJoin (host: string, self = this.cores.get(host)?.self): string {
    const { leader } = this
    if (leader === undefined || self === undefined) return 'no leader'
    const added = leader.addLearner(self, this.now)
    if (added.ok) this.#deliver(leader, added.value)
    return added.ok ? 'done' : added.error.kind
  }

  #start (self: Replica, disk: PersistentState): void {
    this.cores.set(self.address, new RaftCore(self, disk, { ...DEFAULT_RAFT_SETTINGS, minimumVoters: VOTERS }, () => self.address.charCodeAt(0) / 200, this.now))
  }

  #deliver (from: RaftCore, effects: RaftEffects): void {
    for (const { to, message } of effects.messages) {
      const host = to.address === '' ? to.id.slice(0, 1) : to.address
      const target = this.cores.get(host)
      const isBulk = message.kind === 'snapshot-request' || (message.kind === 'append-request' && message.entries.length > 0)
      const isLost = target?.self.id !== to.id || this.down.has(host) || (isBulk && this.starved.has(host))
      if (isBulk) from.reportDelivery({ to: to.id, term: message.term, sentAt: message.sentAt, isDelivered: !isLost })
      if (!isLost && target !== undefined) this.#deliver(target, target.receive(message, this.now))
    }
  }
}

describe('control hosts that lose their disks', () => {
  // Guards against a group that never had a leader again: hosts that had lost their disks did not vote before they had the whole log, and two more lost theirs.
  it('vote as soon as a quorum has agreed on them, although they have nothing of the log yet', () => {
    const hosts = new Hosts()
    hosts.run(1500)
    const lost = ['a', 'b', 'c', 'd', 'e'].filter(host => host !== hosts.leader?.self.address)
    for (const host of lost.slice(0, 2)) hosts.loseDisk(host, 2)
    hosts.run(1000)
    for (const host of lost.slice(0, 2)) {
      hosts.requestJoin(host)
      hosts.run(250)
      hosts.requestPromotion(host, 2)
      hosts.run(250)
    }
    for (const host of lost.slice(2)) hosts.down.add(host)
    hosts.run(2000)
    expect(hosts.leader?.membership.voters).toHaveLength(VOTERS)
  })

  // Guards against a host that counts as two voters, and against one that takes over the address of a running replica by mistake.
  it('never count twice, and do not take the place of a replica that still answers', () => {
    const hosts = new Hosts()
    hosts.run(1500)
    const { leader } = hosts
    const other = ['a', 'b'].find(host => host !== leader?.self.address) ?? ''
    const impostor = leader?.addLearner(replicaAt(other, 9), hosts.now)
    expect(impostor).toMatchObject({ ok: false, error: { kind: 'address-in-use' } })
    expect(leader?.addLearner({ id: 'x', address: leader.self.address }, hosts.now)).toMatchObject({ ok: false, error: { kind: 'address-in-use' } })
    hosts.loseDisk(other, 2)
    hosts.run(1000)
    hosts.requestJoin(other)
    hosts.run(100)
    expect(hosts.leader?.committedMembership.voters.filter(voter => voter.address === other)).toEqual([])
    hosts.requestPromotion(other, 2)
    hosts.run(100)
    expect(hosts.leader?.committedMembership.voters.filter(voter => voter.address === other)).toEqual([replicaAt(other, 2)])
  })

  // Guards against groups that ended because power was lost again before a new leader had waited an election timeout for a disk that was gone.
  it('get their vote back within a few heartbeats of a new leader', () => {
    const hosts = new Hosts()
    hosts.run(1500)
    const former = hosts.leader?.self.address ?? ''
    hosts.loseDisk(former, 2)
    for (let step = 0; step < 300 && hosts.leader === undefined; step += 1) hosts.run(10)
    hosts.run(2 * DEFAULT_RAFT_SETTINGS.heartbeatMs + 10)
    expect(hosts.requestJoin(former)).toBe('done')
  })

  // Guards against joining hosts that block each other's changes, because each repeated request appended another entry.
  it('add nothing to the log when they ask again', () => {
    const hosts = new Hosts()
    hosts.run(1500)
    const newHost = { id: 'f-1', address: 'f' }
    hosts.requestJoin('f', newHost)
    hosts.run(500)
    const index = hosts.leader?.lastIndex
    expect(hosts.requestJoin('f', newHost)).toBe('done')
    expect(hosts.leader?.lastIndex).toBe(index)
  })

  // Guards against a group of six voters that lost its quorum for good: a host that was gone still voted beside its successor, and two more lost their disks.
  it('are removed in favour of a successor at another address before that one votes', () => {
    const hosts = new Hosts()
    hosts.run(1500)
    const gone = ['a', 'b'].find(host => host !== hosts.leader?.self.address) ?? ''
    hosts.down.add(gone)
    const successor = hosts.start('f')
    hosts.run(1000)
    hosts.requestJoin('f')
    for (let attempt = 0; attempt < 5; attempt += 1) {
      hosts.requestPromotion('f')
      hosts.run(100)
      expect(hosts.leader?.membership.voters.length).toBeLessThanOrEqual(VOTERS)
    }
    const voters = hosts.leader?.committedMembership.voters.map(voter => voter.address)
    expect(voters).toHaveLength(VOTERS)
    expect(voters).toContain(successor.address)
    expect(voters).not.toContain(gone)
  })

  // Guards against the same after an election: a new leader took the voter that it had not heard yet for one that answers.
  it('are not joined by their successor while a new leader has not heard them', () => {
    const hosts = new Hosts()
    hosts.run(1500)
    hosts.start('f')
    hosts.requestJoin('f')
    hosts.run(300)
    const former = hosts.leader?.self.address ?? ''
    hosts.down.add(former)
    for (let step = 0; step < 150; step += 1) {
      hosts.run(10)
      hosts.requestPromotion('f')
      expect(hosts.leader?.membership.voters.length ?? 0).toBeLessThanOrEqual(VOTERS)
    }
    hosts.run(100)
    expect(hosts.leader?.committedMembership.voters.map(voter => voter.address)).not.toContain(former)
  })

  // Guards against running voters that are removed whenever a new host joins.
  it('keep their vote beside a new host while they answer', () => {
    const hosts = new Hosts()
    hosts.run(1500)
    hosts.start('f')
    hosts.requestJoin('f')
    hosts.run(100)
    expect(hosts.requestPromotion('f')).toBe('done')
    hosts.run(100)
    expect(hosts.leader?.committedMembership.voters).toHaveLength(VOTERS + 1)
  })
})
