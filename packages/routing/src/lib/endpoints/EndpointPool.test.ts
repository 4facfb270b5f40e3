import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { EndpointPool } from './EndpointPool.js'
import type { EndpointState } from './EndpointState.js'

const listed = (startedAtMs: number | undefined, changes: Partial<ListedEndpoint> = {}): ListedEndpoint => ({
  id: 'e', service: 'pool', address: '10.0.0.1:1', dataCentre: 'north', slots: 16, isLeaving: false, isBusy: false, models: [{ model: 'm', version: 3 }], startedAtMs, ...changes
})

function only (pool: EndpointPool): EndpointState {
  const [state, ...others] = pool.ofService('pool')
  if (state === undefined || others.length > 0) throw new Error('the pool does not hold one endpoint')
  return state
}

/** A pool whose one endpoint is leaving, failing, full, loaded, slow and silent. */
function troubled (): EndpointPool {
  const pool = new EndpointPool()
  pool.update([listed(1000)])
  const state = only(pool)
  state.markLeaving()
  state.recordVersion('m', 9)
  state.beginRequest(5000, 6000, 0)
  state.observeLoad({ running: 16, waiting: 30, slots: 16 }, 0)
  state.observeRejection(0)
  state.health.observe('unreachable', 0)
  state.slowness.observe(5000, 10, 0)
  return pool
}

describe('EndpointPool', () => {
  describe('when an endpoint has started again under its id', () => {
    it('drops everything that was learnt of the former incarnation, and names it as gone', () => {
      const pool = troubled()
      const former = only(pool)
      const gone = pool.update([listed(2000)])
      const state = only(pool)
      expect(gone).toEqual([former])
      expect(state).not.toBe(former)
      expect(state.incarnation).not.toBe(former.incarnation)
      expect({
        isLeaving: state.isLeaving,
        version: state.version('m'),
        inFlight: state.inFlight,
        pendingTokens: state.pendingTokens,
        heldTokens: state.heldTokens,
        occupancy: state.occupancy(1).total,
        isFull: state.isFull(1),
        isPaused: state.health.isPaused(1),
        failureShare: state.health.failureShare,
        slowness: state.slowness.factor(1)
      }).toEqual({ isLeaving: false, version: 3, inFlight: 0, pendingTokens: 0, heldTokens: 0, occupancy: 0, isFull: false, isPaused: false, failureShare: 0, slowness: 1 })
    })

    it('keeps what it knows of the later start when a list that lags states the former one', () => {
      const pool = new EndpointPool()
      pool.update([listed(2000)])
      const state = only(pool)
      expect(pool.update([listed(1000, { isLeaving: true, address: '10.0.0.9:9', models: [{ model: 'm', version: 8 }] })])).toEqual([])
      expect(only(pool)).toBe(state)
      expect([state.isLeaving, state.listed.address, state.version('m')]).toEqual([false, '10.0.0.1:1', 3])
    })

    it('takes the later of two entries for one id, whichever comes first', () => {
      const orders = [[listed(1000), listed(2000)], [listed(2000), listed(1000)]]
      for (const order of orders) {
        const pool = new EndpointPool()
        pool.update(order)
        expect(only(pool).listed.startedAtMs).toBe(2000)
      }
    })
  })

  describe('when no start is stated', () => {
    it('keeps the incarnation that is known', () => {
      const pool = new EndpointPool()
      pool.update([listed(1000)])
      const state = only(pool)
      pool.update([listed(undefined, { slots: 8 })])
      expect(only(pool)).toBe(state)
      expect([state.listed.startedAtMs, state.listed.slots]).toEqual([1000, 8])
    })

    it('takes the first start that is stated for a new incarnation', () => {
      const pool = new EndpointPool()
      pool.update([listed(undefined)])
      only(pool).markLeaving()
      expect(pool.update([listed(1000)])).toHaveLength(1)
      expect(only(pool).isLeaving).toBe(false)
    })
  })

  it('keeps the incarnation while its start is the same', () => {
    const pool = troubled()
    const state = only(pool)
    expect(pool.update([listed(1000)])).toEqual([])
    expect(only(pool)).toBe(state)
    expect(state.isLeaving).toBe(true)
  })
})
