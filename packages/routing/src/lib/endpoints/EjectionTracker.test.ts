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
  others.recordOwnReport(1, { work: [], links: [] })
  others.recordTotals({ sequence: 1, work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'a', ...figures }], links: [] }, 0)
  return others
}

describe('EjectionWatch', () => {
  it('tells each change once, with its reason, and the return', () => {
    const watch = new EjectionTracker()
    const endpoints = [endpoint('a'), endpoint('b')]
    const dark = othersWith({ inFlight: 4, lastByteAgoMs: 800, waitedMs: 900 })
    expect(watch.detectChanges(endpoints, othersWith({ inFlight: 4, lastByteAgoMs: 10, waitedMs: 900 }), 0)).toEqual([])
    expect(watch.detectChanges(endpoints, dark, 0).map(({ endpoint, reason }) => [endpoint.id, reason])).toEqual([['a', 'silent-to-all']])
    expect(watch.detectChanges(endpoints, dark, 0)).toEqual([])
    expect(watch.detectChanges(endpoints, othersWith({ avoiders: 3 }), 0).map(({ reason }) => reason)).toEqual(['avoided-by-others'])
    expect(watch.detectChanges(endpoints, othersWith({ outcomes: 40, failures: 36 }), 0).map(({ reason }) => reason)).toEqual(['failing'])
    expect(watch.size).toBe(1)
    expect(watch.detectChanges(endpoints, othersWith({}), 0).map(({ reason }) => reason)).toEqual([undefined])
    expect(watch.size).toBe(0)
  })
})
