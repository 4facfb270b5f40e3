import { describe, expect, it } from 'vitest'
import type { Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { leaveIfSurplus } from './leaveGroup.js'

const replicas = (count: number): Replica[] => Array.from({ length: count }, (_, index) => ({ id: `replica-${index}`, address: `host-${index}` }))

async function leave (voters: number, target: number | undefined, leader = 1): Promise<unknown[]> {
  const requests: unknown[] = []
  const [self] = replicas(1) as [Replica]
  const core = { self, leader: replicas(voters)[leader], membership: { voters: replicas(voters), learners: [] } }
  const call = async (address: string, _method: unknown, request: unknown): Promise<unknown> => {
    requests.push({ address, request })
    return { ok: true, value: { kind: 'done' } }
  }
  await leaveIfSurplus({ call } as never, core, target)
  return requests
}

describe('leaveIfSurplus', () => {
  // Guards against a host that was replaced and stopped for good, but still counted as a voter when two disks were lost.
  it('asks the leader to remove a host that stops beside its successor', async () => {
    expect(await leave(6, 5)).toEqual([{ address: 'host-1', request: { kind: 'remove', id: 'replica-0' } }])
  })

  it('stays in a group that needs it, whose size is not configured, or that it leads', async () => {
    expect(await leave(5, 5)).toEqual([])
    expect(await leave(6, undefined)).toEqual([])
    expect(await leave(6, 5, 0)).toEqual([])
  })
})
