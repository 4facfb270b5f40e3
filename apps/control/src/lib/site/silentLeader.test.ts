import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { ProxiedServer } from '@eelgrassmux/rpc/harness/ProxiedServer'
import { propose, readSite } from '@eelgrassmux/rpc/methods/controlMethods'
import { StateMachine } from '@eelgrassmux/state/StateMachine'
import type { RaftTask } from '../raft/RaftTask.js'
import { SiteService } from './SiteService.js'

describe('operators\' calls at a control host whose connection to the leader has gone silent', () => {
  let leader: ProxiedServer
  let service: SiteService
  let state: StateMachine

  beforeEach(async () => {
    leader = new ProxiedServer()
    state = new StateMachine()
    leader.server.handle(readSite, async () => ({ kind: 'none' as const }))
    leader.server.handle(propose, async ({ command }) => ({ kind: 'applied' as const, result: state.apply({ stampedAt: 0, command }) }))
    await leader.listen()
    const { address } = leader
    const follower = {
      state: { evacuations: { revision: 0 } },
      core: { role: 'follower', leader: { id: 'l', address } },
      propose: async () => await Promise.resolve({ kind: 'not-leader', leader: address })
    }
    service = new SiteService(follower as unknown as RaftTask, leader.client)
    expect(await service.readSite()).toEqual({ kind: 'none' })
    leader.proxy.silenceOpenConnections()
  })

  afterEach(() => { leader.close() })

  // Guards against reads that a group with a leader refuses at all other hosts until the keepalive of dead connections runs out.
  it('reads the site at the first try', async () => {
    expect(await service.readSite()).toEqual({ kind: 'none' })
  })

  // Guards against operators whose changes find no leader although there is one.
  it('names weights at the first try', async () => {
    expect(await service.nameWeights('m', 2)).toMatchObject({ kind: 'applied' })
  })

  // Guards against an evacuation that is ordered twice, or can't be ordered until the keepalive of dead connections runs out.
  it('orders an evacuation at the second try, as the first may have been applied', async () => {
    expect(await service.orderEvacuation('n', true, () => false)).toEqual({ kind: 'unavailable' })
    expect(state.evacuations.evacuated).toEqual([])
    expect(await service.orderEvacuation('n', true, () => false)).toEqual({ kind: 'applied' })
    expect(state.evacuations.evacuated).toEqual(['n'])
  })
})
