import { describe, expect, it } from 'vitest'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { NO_ENDPOINT_LOAD } from '@eelgrassmux/routing/load/loadReport'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RoutedFleet } from './RoutedFleet.js'

const PARTS = [{ id: 'a', tokens: 800 }]

const listed = (startedAtMs: number): ListedEndpoint => ({
  id: 'e', service: 'pool', address: '10.0.0.1:1', dataCentre: 'north', slots: 16, isLeaving: false, isBusy: false, models: [], startedAtMs
})

/** A fleet whose one endpoint has started at the given times, one after the other. */
function fleetAfter (...starts: number[]): { fleet: RoutedFleet, incarnations: EndpointState[] } {
  const fleet = new RoutedFleet('north', () => 1, new Telemetry('test'))
  const incarnations = starts.flatMap(startedAtMs => {
    fleet.update([listed(startedAtMs)])
    return fleet.endpointsOf('pool')
  })
  return { fleet, incarnations }
}

describe('RoutedFleet', () => {
  describe('when an endpoint has started again under its id', () => {
    it('keeps no connection, no prompt and no word of other hosts from the former incarnation', () => {
      const { fleet, incarnations: [former] } = fleetAfter(1000)
      if (former === undefined) throw new Error('no endpoint')
      const connections = fleet.connectionsTo(former)
      const now = performance.now()
      fleet.memory.recordSend('v1', PARTS, former.incarnation, now)
      fleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] })
      fleet.otherHostsLoad.recordTotals({ sequence: 1, work: [{ ...NO_ENDPOINT_LOAD, endpoint: former.incarnation, inFlight: 40, avoiders: 3 }], links: [] }, now)
      fleet.update([listed(2000)])
      const [present] = fleet.endpointsOf('pool')
      if (present === undefined) throw new Error('no endpoint')
      expect(fleet.connectionsTo(present)).not.toBe(connections)
      expect(fleet.memory.holders('v1', PARTS, now).tokensAt(present.incarnation)).toBe(0)
      expect(fleet.otherHostsLoad.forEndpoint(present.incarnation)).toEqual(NO_ENDPOINT_LOAD)
    })

    it('tells of its own work at the present incarnation only', () => {
      const { fleet, incarnations: [former, present] } = fleetAfter(1000, 2000)
      former?.beginRequest(10, 10, 0)
      expect(fleet.ownWork()).toEqual({ work: [], links: [] })
      present?.beginRequest(20, 30, 0)
      expect(fleet.ownWork().work).toMatchObject([{ endpoint: present?.incarnation, inFlight: 1, pendingTokens: 20, heldTokens: 30 }])
    })
  })
})
