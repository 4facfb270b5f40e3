import { describe, expect, it } from 'vitest'
import { AdmissionQueue, type AdmissionRequest } from './AdmissionQueue.js'

const request = (id: string, customer: string, overrides: Partial<AdmissionRequest> = {}): AdmissionRequest =>
  ({ id, customer, share: 1, tokens: 100, waitLimitMs: 10_000, ...overrides })

describe('AdmissionQueue', () => {
  describe('capacity', () => {
    it('admits immediately while capacity is free', () => {
      const queue = new AdmissionQueue(250, 10)
      expect(queue.request(request('1', 'a'), 0).kind).toBe('admitted')
      expect(queue.request(request('2', 'a'), 0).kind).toBe('admitted')
      expect(queue.request(request('3', 'a'), 0).kind).toBe('queued')
      expect(queue.release('1', 10)).toEqual([{ id: '3', decision: { kind: 'admitted' } }])
    })

    it('admits a request that is larger than the capacity when nothing else is in flight', () => {
      const queue = new AdmissionQueue(50, 10)
      expect(queue.request(request('1', 'a'), 0).kind).toBe('admitted')
      expect(queue.request(request('2', 'a'), 0).kind).toBe('queued')
    })

    it('removes a withdrawn request from the queue', () => {
      const queue = new AdmissionQueue(100, 10)
      queue.request(request('1', 'a'), 0)
      queue.request(request('2', 'a'), 0)
      queue.release('2', 1)
      expect(queue.queued).toBe(0)
    })
  })

  describe('fairness', () => {
    it('admits a small customer ahead of the queue of a large one', () => {
      const queue = new AdmissionQueue(100, 100)
      for (let turn = 0; turn < 10; turn += 1) queue.request(request(`large-${turn}`, 'large'), 0)
      queue.request(request('small', 'small'), 1)
      const [first] = queue.release('large-0', 10)
      expect(first?.id).toBe('small')
    })

    it('admits customers in proportion to their shares when all of them have queued requests', () => {
      const queue = new AdmissionQueue(100, 1000)
      for (let turn = 0; turn < 60; turn += 1) {
        queue.request(request(`heavy-${turn}`, 'heavy', { share: 3 }), 0)
        queue.request(request(`light-${turn}`, 'light', { share: 1 }), 0)
      }
      const served = { heavy: 0, light: 0 }
      let current = 'heavy-0'
      for (let turn = 0; turn < 40; turn += 1) {
        current = queue.release(current, turn)[0]?.id ?? ''
        served[current.startsWith('heavy') ? 'heavy' : 'light'] += 1
      }
      expect(served.heavy / served.light).toBeGreaterThan(2.5)
      expect(served.heavy / served.light).toBeLessThan(3.5)
    })
  })

  describe('deadlines', () => {
    const busy = (): AdmissionQueue => {
      const queue = new AdmissionQueue(100, 100)
      queue.request(request('1', 'a'), 0)
      // Until a release is observed, the queue assumes a drain rate of one token per millisecond.
      return queue
    }

    it('refuses a request that cannot start in time immediately, with the time after which to retry', () => {
      expect(busy().request(request('2', 'b', { waitLimitMs: 40 }), 0))
        .toEqual({ kind: 'refused', reason: 'deadline-unreachable', retryAfterMs: 60 })
    })

    it('refuses a queued request when its wait limit has passed', () => {
      const queue = busy()
      queue.request(request('2', 'b', { waitLimitMs: 150 }), 0)
      expect(queue.expire(149)).toEqual([])
      expect(queue.expire(150)).toMatchObject([{ id: '2', decision: { kind: 'refused', reason: 'deadline-unreachable' } }])
      expect(queue.queued).toBe(0)
    })

    it('refuses a request when the queue is full', () => {
      const queue = new AdmissionQueue(100, 1)
      queue.request(request('1', 'a'), 0)
      queue.request(request('2', 'b'), 0)
      expect(queue.request(request('3', 'c'), 0).kind).toBe('refused')
    })
  })
})
