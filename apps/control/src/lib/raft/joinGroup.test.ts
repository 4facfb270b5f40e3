import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { LoopbackProxy } from '@eelgrassmux/rpc/harness/LoopbackProxy'
import { changeMembership, type MembershipChange } from '@eelgrassmux/rpc/methods/controlMethods'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import { succeed, type Result } from '@eelgrassmux/schema/Result'
import { joinGroup, type JoiningReplica } from './joinGroup.js'

const SELF: Replica = { id: 'new', address: 'rebuilt' }
const FORMER: Replica = { id: 'old', address: 'rebuilt' }
const LEADER: Replica = { id: 'leader', address: 'leader' }
const FRESH: Replica = { id: 'fresh', address: 'fresh' }

const NO_KEEPALIVE_MS = 600_000

/** Simulates a leader that makes every requested change, and a contact that has not joined a group yet. */
class FakeContacts {
  readonly changes: MembershipChange[] = []

  async call (address: string, method: unknown, request: unknown): Promise<Result<unknown, never>> {
    if (method !== changeMembership) return succeed({ voters: [], learners: [], leader: '', replicaId: address })
    if (address !== LEADER.address) return succeed({ kind: 'not-leader', leader: '' })
    this.changes.push(request as MembershipChange)
    return succeed({ kind: 'done' })
  }
}

describe('joinGroup', () => {
  it('removes its earlier id even if the first contact does not know the group', async () => {
    const contacts = new FakeContacts()
    const core: JoiningReplica = { self: SELF, leader: LEADER, membership: { voters: [LEADER, FORMER], learners: [SELF] } }
    await joinGroup(contacts as unknown as RpcClient, core, () => [FRESH.address, LEADER.address], () => false)
    expect(contacts.changes).toEqual([{ kind: 'add-learner', replica: SELF }, { kind: 'remove', id: FORMER.id }, { kind: 'promote', id: SELF.id }])
  })

  // Guards against joins of many seconds: each contact that did not answer was waited for before the next one was asked.
  it('is not held up by contacts that do not answer', async () => {
    const contacts = new FakeContacts()
    const call = async (address: string, method: unknown, request: unknown): Promise<unknown> =>
      address === 'dark' ? await new Promise(() => {}) : await contacts.call(address, method, request)
    const core: JoiningReplica = { self: SELF, leader: LEADER, membership: { voters: [LEADER], learners: [SELF] } }
    await joinGroup({ call } as unknown as RpcClient, core, () => ['dark', FRESH.address, LEADER.address], () => false)
    expect(contacts.changes.map(({ kind }) => kind)).toContain('promote')
  })

  describe('when its connections to the leader have gone silent', () => {
    let proxy: LoopbackProxy
    let leader: RpcServer
    let rpc: RpcClient

    beforeEach(async () => {
      proxy = new LoopbackProxy()
      leader = new RpcServer()
      rpc = new RpcClient({ keepaliveMs: NO_KEEPALIVE_MS })
      proxy.target = await leader.listen('127.0.0.1', 0)
    })

    afterEach(() => {
      rpc.close()
      leader.close()
      proxy.close()
    })

    // Guards against a replica that cannot join until the keepalive of a dead connection runs out.
    it('joins over new ones', async () => {
      const made: string[] = []
      leader.handle(changeMembership, async change => {
        // The first answer of each step is lost.
        if (!made.includes(change.kind)) proxy.silenceOpenConnections()
        made.push(change.kind)
        return { kind: 'done' as const }
      })
      const address = await proxy.listen()
      const core: JoiningReplica = { self: SELF, leader: { id: 'leader', address }, membership: { voters: [LEADER], learners: [SELF] } }
      await joinGroup(rpc, core, () => [address], () => false)
      expect(made.at(0)).toBe('add-learner')
      expect(made.at(-1)).toBe('promote')
    })
  })
})
