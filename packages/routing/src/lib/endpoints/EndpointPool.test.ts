import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { EndpointPool } from './EndpointPool.js'
import type { EndpointState } from './EndpointState.js'

const listed = (startedAtMs: number | undefined, changes: Partial<ListedEndpoint> = {}): ListedEndpoint => ({
  id: 'e', service: 'pool', address: '10.0.0.1:1', dataCentre: 'north', slots: 16, isLeaving: false, isBusy: false, models: [{ model: 'm', version: 3 }], startedAtMs, ...changes
})

function onlyEndpoint (pool: EndpointPool): EndpointState {
  const [state, ...others] = pool.ofService('pool')
  if (state === undefined || others.length > 0) throw new Error('expected exactly one endpoint in the pool')
  return state
}

/** Makes a pool whose one endpoint is leaving, failing, full, loaded, slow and silent. */
function makeTroubledPool (): EndpointPool {
  const pool = new EndpointPool()
  pool.update([listed(1000)])
  const state = onlyEndpoint(pool)
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
  describe('when an endpoint has restarted under its id', () => {
    it('drops everything that was learnt about the former incarnation, and returns it as gone', () => {
      const pool = makeTroubledPool()
      const former = onlyEndpoint(pool)
      const gone = pool.update([listed(2000)])
      const state = onlyEndpoint(pool)
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

    it('keeps the state of the later start when a list that lags states the former one', () => {
      const pool = new EndpointPool()
      pool.update([listed(2000)])
      const state = onlyEndpoint(pool)
      expect(pool.update([listed(1000, { isLeaving: true, address: '10.0.0.9:9', models: [{ model: 'm', version: 8 }] })])).toEqual([])
      expect(onlyEndpoint(pool)).toBe(state)
      expect([state.isLeaving, state.listed.address, state.version('m')]).toEqual([false, '10.0.0.1:1', 3])
    })

    it('uses the later of two entries for one id, whichever comes first', () => {
      const orders = [[listed(1000), listed(2000)], [listed(2000), listed(1000)]]
      for (const order of orders) {
        const pool = new EndpointPool()
        pool.update(order)
        expect(onlyEndpoint(pool).listed.startedAtMs).toBe(2000)
      }
    })
  })

  describe('when no start is stated', () => {
    it('keeps the known incarnation', () => {
      const pool = new EndpointPool()
      pool.update([listed(1000)])
      const state = onlyEndpoint(pool)
      pool.update([listed(undefined, { slots: 8 })])
      expect(onlyEndpoint(pool)).toBe(state)
      expect([state.listed.startedAtMs, state.listed.slots]).toEqual([1000, 8])
    })

    it('treats the first stated start as a new incarnation', () => {
      const pool = new EndpointPool()
      pool.update([listed(undefined)])
      onlyEndpoint(pool).markLeaving()
      expect(pool.update([listed(1000)])).toHaveLength(1)
      expect(onlyEndpoint(pool).isLeaving).toBe(false)
    })
  })

  it('keeps the incarnation while its start is the same', () => {
    const pool = makeTroubledPool()
    const state = onlyEndpoint(pool)
    expect(pool.update([listed(1000)])).toEqual([])
    expect(onlyEndpoint(pool)).toBe(state)
    expect(state.isLeaving).toBe(true)
  })
})
