import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { LoadFeatures, type LoadFeatureChoice } from '@eelgrassmux/routing/features/LoadFeatures'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { testRoute } from './harness/testSite.js'
import { RoutedFleet } from './RoutedFleet.js'
import { StreamPauses } from './StreamPauses.js'

const EVENTS = 20
const PAUSE_MS = 30

function endpoint (id: string): EndpointState {
  return new EndpointState({ id, service: 'pool', address: '10.1.0.1:80', dataCentre: 'north', slots: 8, isLeaving: false, isBusy: false, models: [] })
}

describe('StreamPauses', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  /** Returns the pause that a host predicts after a stream whose events came from the endpoints in turn. */
  function learn (features: LoadFeatureChoice[], endpoints: readonly EndpointState[], isLoadKnown = true): number {
    const fleet = new RoutedFleet('north', () => 1, new Telemetry('test'), undefined, 'h', new LoadFeatures(features))
    const pauses = new StreamPauses(fleet, { route: testRoute('/s/', { kind: 'stream', longestPauseMs: 300 }), service: { type: 'replicated', name: 'pool', connectionsPerEndpoint: 0, healthPath: '/' } })
    fleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] }, performance.now())
    for (let event = 0; event < EVENTS; event += 1) {
      vi.advanceTimersByTime(PAUSE_MS)
      if (isLoadKnown) fleet.otherHostsLoad.recordTotals({ sequence: 1, work: [], links: [] }, performance.now())
      const from = endpoints[event % endpoints.length]
      if (from === undefined) continue
      pauses.observeEvent(from, performance.now())
      pauses.observeEvent(from, performance.now())
    }
    return fleet.streamPaceModel('pool').pauseMs({ prefillMs: 0, requests: 0 })
  }

  it('learns the pause between events, once for each event whatever its pieces', () => {
    expect(learn(['stream-pace'], [endpoint('e')])).toBeCloseTo(PAUSE_MS)
  })

  it('learns nothing while the feature is off or the load is not known', () => {
    expect(learn([], [endpoint('e')])).toBe(0)
    expect(learn(['stream-pace'], [endpoint('e')], false)).toBe(0)
  })

  // Guards against the time of a failover that is learnt as a pause of an engine.
  it('learns nothing from the time between events of different endpoints', () => {
    expect(learn(['stream-pace'], [endpoint('e'), endpoint('f')])).toBe(0)
  })

  it('divides by the stated pace of the machine, so that slowness is not learnt as prefill', () => {
    const slow = endpoint('e')
    vi.spyOn(slow, 'machinePace').mockReturnValue(2.5)
    expect(learn(['stream-pace', 'machine-pace'], [slow])).toBeCloseTo(PAUSE_MS / 2.5)
  })
})
