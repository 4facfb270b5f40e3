import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { ProxiedServer } from '@eelgrassmux/rpc/harness/ProxiedServer'
import { changeMembership, type MembershipChange } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { succeed, type Result } from '@eelgrassmux/schema/Result'
import { joinGroup, type JoiningReplica } from './joinGroup.js'

const SELF: Replica = { id: 'new', address: 'rebuilt' }
const FORMER: Replica = { id: 'old', address: 'rebuilt' }
const LEADER: Replica = { id: 'leader', address: 'leader' }
const FRESH: Replica = { id: 'fresh', address: 'fresh' }

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
    let leader: ProxiedServer
    beforeEach(() => { leader = new ProxiedServer() })
    afterEach(() => { leader.close() })

    // Guards against a replica that cannot join until the keepalive of a dead connection runs out.
    it('joins over new ones', async () => {
      const made: string[] = []
      leader.server.handle(changeMembership, async change => {
        // The first answer of each step is lost.
        if (!made.includes(change.kind)) leader.proxy.silenceOpenConnections()
        made.push(change.kind)
        return { kind: 'done' as const }
      })
      await leader.listen()
      const { address } = leader
      const core: JoiningReplica = { self: SELF, leader: { id: 'leader', address }, membership: { voters: [LEADER], learners: [SELF] } }
      await joinGroup(leader.client, core, () => [address], () => false)
      expect(made.at(0)).toBe('add-learner')
      expect(made.at(-1)).toBe('promote')
    })
  })
})
