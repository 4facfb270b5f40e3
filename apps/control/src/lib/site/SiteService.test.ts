import { describe, expect, it } from 'vitest'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Command } from '@eelgrassmux/state/commands'
import { StateMachine } from '@eelgrassmux/state/StateMachine'
import type { ProposeOutcome, RaftTask } from '../raft/RaftTask.js'
import { SiteService } from './SiteService.js'

/** Leader that applies proposals immediately, after commands that others propose in the meantime. */
class FakeLeader {
  readonly state = new StateMachine()
  readonly proposed: Command[] = []
  /** Called before each proposal is applied. */
  beforePropose: () => void = () => {}
  outcome: ProposeOutcome | undefined

  async propose (command: Command): Promise<ProposeOutcome> {
    this.proposed.push(command)
    this.beforePropose()
    return await Promise.resolve(this.outcome ?? { kind: 'applied', result: this.apply(command) })
  }

  apply (command: Command): ReturnType<StateMachine['apply']> {
    return this.state.apply({ stampedAt: 0, command })
  }

  /** Applies an order of another operator that is based on the latest revision. */
  applyOtherOrder (dataCentre: string, isEvacuated: boolean): void {
    this.apply({ kind: 'order-evacuation', dataCentre, isEvacuated, knownRevision: this.state.evacuations.revision })
  }
}

describe('SiteService', () => {
  describe('evacuation orders', () => {
    const isStillWaiting = (): boolean => false
    const createService = (): { leader: FakeLeader, service: SiteService } => {
      const leader = new FakeLeader()
      return { leader, service: new SiteService(leader as unknown as RaftTask, {} as RpcClient) }
    }

    it('are acknowledged once they are applied, even if they are repeated', async () => {
      const { leader, service } = createService()
      expect(await service.orderEvacuation('north', true, isStillWaiting)).toEqual({ kind: 'applied' })
      expect(await service.orderEvacuation('north', true, isStillWaiting)).toEqual({ kind: 'applied' })
      expect(leader.state.evacuations.evacuated).toEqual(['north'])
    })

    it('are proposed again if another order was applied first and the caller is still waiting', async () => {
      const { leader, service } = createService()
      leader.beforePropose = () => {
        leader.beforePropose = () => {}
        leader.applyOtherOrder('north', false)
      }
      expect(await service.orderEvacuation('north', true, isStillWaiting)).toEqual({ kind: 'applied' })
      expect(leader.proposed).toHaveLength(2)
      expect(leader.state.evacuations.evacuated).toEqual(['north'])
    })

    it('change nothing after the caller has disconnected', async () => {
      const { leader, service } = createService()
      expect(await service.orderEvacuation('north', true, () => true)).toEqual({ kind: 'overtaken' })
      expect(leader.proposed).toEqual([])
    })

    it('are abandoned if other orders keep being applied first', async () => {
      const { leader, service } = createService()
      leader.beforePropose = () => { leader.applyOtherOrder('north', false) }
      expect(await service.orderEvacuation('north', true, isStillWaiting)).toEqual({ kind: 'overtaken' })
      expect(leader.state.evacuations.evacuated).toEqual([])
    })

    it('are not acknowledged while no leader accepts them', async () => {
      const { leader, service } = createService()
      leader.outcome = { kind: 'uncertain' }
      expect(await service.orderEvacuation('north', true, isStillWaiting)).toEqual({ kind: 'unavailable' })
    })
  })
})
