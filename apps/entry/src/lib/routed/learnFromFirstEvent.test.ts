import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { EMPTY_PREFILL_PLAN } from '@eelgrassmux/routing/endpoints/prefillPlan'
import { LoadFeatures } from '@eelgrassmux/routing/features/LoadFeatures'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { testRoute } from './harness/testSite.js'
import { learnFromFirstEvent } from './learnFromFirstEvent.js'
import { RoutedFleet } from './RoutedFleet.js'

const USUAL_MS = 80
const SLOW_PACE = 2.5
const LOAD = { tokensToRead: 2000, tokensAhead: 0, requests: 0 }

describe('learnFromFirstEvent', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  /** Learns from requests that took as much longer as the endpoint states. */
  function learn (expectedPace: number | undefined): { slowness: number, engineMs: number } {
    const fleet = new RoutedFleet('north', () => 1, new Telemetry('test'), undefined, 'h', new LoadFeatures(expectedPace === undefined ? [] : ['machine-pace']))
    fleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] }, performance.now())
    const endpoint = new EndpointState({ id: 'e', service: 'pool', address: '10.1.0.1:80', dataCentre: 'north', slots: 8, isLeaving: false, isBusy: false, models: [] })
    const model = fleet.engineModel('pool')
    const before = model.fixedMs + model.prefillMs(LOAD.tokensToRead)
    for (let request = 0; request < 40; request += 1) {
      const startedAt = performance.now()
      vi.advanceTimersByTime(USUAL_MS * SLOW_PACE)
      fleet.otherHostsLoad.recordTotals({ sequence: 1, work: [], links: [] }, performance.now())
      endpoint.observeLoad({ running: 1, waiting: 0, slots: 8, paceFactor: SLOW_PACE }, performance.now())
      const workMs = before * (expectedPace ?? 1)
      const choice: EndpointChoice = { endpoint, version: 1, prefill: EMPTY_PREFILL_PLAN, tokensHeld: 0, estimatedMs: workMs, costMs: workMs, waitMs: 0, memoryWaitMs: 0, workMs, load: LOAD, memoryShare: 0, ...(expectedPace === undefined ? {} : { machinePace: expectedPace }) }
      learnFromFirstEvent(fleet, { route: testRoute('/s/', { kind: 'stream' }), service: { type: 'replicated', name: 'pool', connectionsPerEndpoint: 0, healthPath: '/' } }, { choice, startedAt })
    }
    return { slowness: endpoint.slowness.factor(performance.now()), engineMs: model.fixedMs + model.prefillMs(LOAD.tokensToRead) }
  }

  // Guards against slowness that is stated and learnt as well, so that an engine is avoided long after its machine has recovered.
  it('does not learn slowness that the endpoint states', () => {
    const { slowness, engineMs } = learn(SLOW_PACE)
    expect(slowness).toBeCloseTo(1, 1)
    expect(engineMs).toBeCloseTo(USUAL_MS, -1)
  })

  it('learns it while statements are not used', () => {
    expect(learn(undefined).slowness).toBeGreaterThan(2)
  })
})
