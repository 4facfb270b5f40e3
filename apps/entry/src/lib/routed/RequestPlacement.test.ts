import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { testRoute, TEST_SITE } from './harness/testSite.js'
import { RequestPlacement } from './RequestPlacement.js'
import type { ResponseTimes } from './ResponseTimes.js'
import { RoutedFleet } from './RoutedFleet.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

const DEADLINE = 12_000
const CALLER_TIMEOUT_AT = 8000

/** Returns until when a request of a kind waits whose route takes a time after its first event. */
function patienceUntil (kind: 'safe' | 'stream', restMs: number): number {
  const request = { route: testRoute('/r/', { kind }), fields: {} } as unknown as RoutedRequest
  const ports = { durations: { expectedRestMs: () => restMs } } as unknown as RoutedPorts
  return new RequestPlacement(request, ports, undefined, { callerTimeoutAt: CALLER_TIMEOUT_AT } as unknown as ResponseTimes, DEADLINE).patienceUntil
}

describe('RequestPlacement', () => {
  describe('patienceUntil', () => {
    it('is the deadline for calls, and ends with the patience of a stream\'s caller', () => {
      expect(patienceUntil('safe', 0)).toBe(DEADLINE)
      expect(patienceUntil('stream', 1000)).toBe(CALLER_TIMEOUT_AT)
    })

    // Guards against streams that begin after a long wait and are cut off by their deadline.
    it('leaves a stream the time to end before its deadline', () => {
      expect(patienceUntil('stream', 7000)).toBe(5000)
    })
  })
  describe('releasedAt', () => {
    const PAUSE_MS = 1000

    beforeEach(() => { vi.useFakeTimers({ toFake: ['performance'] }) })
    afterEach(() => { vi.useRealTimers() })

    // Guards against requests that have waited for an endpoint and are refused because its pause ends just after they were placed.
    it('is the end of a pause that has kept an endpoint from being chosen, although it is over by now', () => {
      const fleet = new RoutedFleet('n', () => 1, new Telemetry('test'))
      fleet.update([{ id: 'e', service: 'app', address: '127.0.0.1:1', dataCentre: 'n', slots: 1, isLeaving: false, isBusy: false, models: [] }])
      fleet.endpointsOf('app')[0]?.requestedPause.extend(PAUSE_MS, performance.now())
      const pauseEndsAt = performance.now() + PAUSE_MS
      const request = { route: testRoute('/r/', {}), service: TEST_SITE.services[0], fields: {} } as unknown as RoutedRequest
      const placement = new RequestPlacement(request, { fleet } as unknown as RoutedPorts, undefined, {} as unknown as ResponseTimes, DEADLINE)
      vi.advanceTimersByTime(PAUSE_MS - 1)
      const failure = placement.choose()
      vi.advanceTimersByTime(2)
      expect(failure).toBe('all-asked-to-pause')
      expect(placement.releasedAt('all-asked-to-pause')).toBe(pauseEndsAt)
    })
  })
})
