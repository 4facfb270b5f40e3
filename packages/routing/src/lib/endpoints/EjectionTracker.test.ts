import { describe, expect, it } from 'vitest'
import { NO_ENDPOINT_LOAD, type LoadFigures } from '../load/loadReport.js'
import { PeerLoad } from '../load/PeerLoad.js'
import { EndpointState } from './EndpointState.js'
import { EjectionTracker } from './EjectionTracker.js'

const endpoint = (id: string): EndpointState => new EndpointState({
  id, service: 'pool', address: '10.0.0.1:1', dataCentre: 'north', slots: 16, isLeaving: false, isBusy: false, models: []
})

function othersWith (figures: Partial<LoadFigures>): PeerLoad {
  const others = new PeerLoad()
  others.recordOwnReport(1, { work: [], links: [] }, 0)
  others.recordTotals({ sequence: 1, work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'a', ...figures }], links: [] }, 0)
  return others
}

describe('EjectionWatch', () => {
  it('reports each change of the reason once, and the readmission', () => {
    const tracker = new EjectionTracker()
    const endpoints = [endpoint('a'), endpoint('b')]
    const silent = othersWith({ inFlight: 4, lastByteAgoMs: 800, waitedMs: 900 })
    expect(tracker.detectChanges(endpoints, othersWith({ inFlight: 4, lastByteAgoMs: 10, waitedMs: 900 }), 0)).toEqual([])
    expect(tracker.detectChanges(endpoints, silent, 0).map(({ endpoint, reason }) => [endpoint.id, reason])).toEqual([['a', 'silent-to-all']])
    expect(tracker.detectChanges(endpoints, silent, 0)).toEqual([])
    expect(tracker.detectChanges(endpoints, othersWith({ avoiders: 3 }), 0).map(({ reason }) => reason)).toEqual(['avoided-by-others'])
    expect(tracker.detectChanges(endpoints, othersWith({ outcomes: 40, failures: 36 }), 0).map(({ reason }) => reason)).toEqual(['failing'])
    expect(tracker.size).toBe(1)
    expect(tracker.detectChanges(endpoints, othersWith({}), 0).map(({ reason }) => reason)).toEqual([undefined])
    expect(tracker.size).toBe(0)
  })
})
