import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, expect, it } from 'vitest'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { LoadFeatures, type LoadFeature } from '@eelgrassmux/routing/features/LoadFeatures'
import { NO_ENDPOINT_LOAD } from '@eelgrassmux/routing/load/loadReport'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RoutedFleet } from './RoutedFleet.js'

const PARTS = [{ id: 'a', tokens: 800 }]

const listed = (startedAtMs: number): ListedEndpoint => ({
  id: 'e', service: 'pool', address: '10.0.0.1:1', dataCentre: 'north', slots: 16, isLeaving: false, isBusy: false, models: [], startedAtMs
})

/** Returns a fleet whose only endpoint has started at each of the given times, and the endpoint's incarnations. */
function fleetAfter (...starts: number[]): { fleet: RoutedFleet, incarnations: EndpointState[] } {
  const fleet = new RoutedFleet('north', () => 1, new Telemetry('test'))
  const incarnations = starts.flatMap(startedAtMs => {
    fleet.update([listed(startedAtMs)])
    return fleet.endpointsOf('pool')
  })
  return { fleet, incarnations }
}

describe('RoutedFleet', () => {
  describe('when an endpoint has restarted under its id', () => {
    it('keeps no connections, prompts or reports of other hosts from the former incarnation', () => {
      const { fleet, incarnations: [former] } = fleetAfter(1000)
      if (former === undefined) throw new Error('no endpoint')
      const connections = fleet.connectionsTo(former)
      const now = performance.now()
      fleet.promptMemory.recordSend('v1', PARTS, former.incarnation, now)
      fleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] })
      fleet.otherHostsLoad.recordTotals({ sequence: 1, work: [{ ...NO_ENDPOINT_LOAD, endpoint: former.incarnation, inFlight: 40, avoiders: 3 }], links: [] }, now)
      fleet.update([listed(2000)])
      const [present] = fleet.endpointsOf('pool')
      if (present === undefined) throw new Error('no endpoint')
      expect(fleet.connectionsTo(present)).not.toBe(connections)
      expect(fleet.promptMemory.holders('v1', PARTS, now).tokensAt(present.incarnation)).toBe(0)
      expect(fleet.otherHostsLoad.forEndpoint(present.incarnation)).toEqual(NO_ENDPOINT_LOAD)
    })

    it('reports its own load at the current incarnation only', () => {
      const { fleet, incarnations: [former, present] } = fleetAfter(1000, 2000)
      former?.beginRequest(10, 10, 0)
      expect(fleet.ownWork()).toEqual({ work: [], links: [] })
      present?.beginRequest(20, 30, 0)
      expect(fleet.ownWork().work).toMatchObject([{ endpoint: present?.incarnation, inFlight: 1, pendingTokens: 20, heldTokens: 30 }])
    })
  })

  describe('when totals of the hosts are applied long after they came', () => {
    // Guards against a lifted bound that comes back because an older statement of another host counts as newer.
    it('keeps what this host has read itself after the statement of another host', () => {
      const { fleet, incarnations: [endpoint] } = fleetAfter(1000)
      if (endpoint === undefined) throw new Error('no endpoint')
      const now = performance.now()
      endpoint.brittleness.observeAnswer(4, now - 400)
      endpoint.brittleness.observeAnswer(undefined, now - 250)
      fleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] })
      fleet.otherHostsLoad.recordTotals({ sequence: 1, work: [], links: [], brittle: [{ endpoint: endpoint.incarnation, rejectionsPerSecond: 4, statedAgoMs: 100 }] }, now - 200)
      fleet.applyObservations()
      expect(endpoint.brittleness.rejectionsPerSecond).toBeUndefined()
    })
  })

  describe('when a connection to another data centre is established', () => {
    /** Sends one request to an endpoint in another data centre and returns how many distances the fleet knows afterwards. */
    async function knownAfterRequest (features: readonly LoadFeature[]): Promise<number | undefined> {
      const server = createServer((_request, response) => { response.end('whole') })
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      const fleet = new RoutedFleet('south', () => 1, new Telemetry('test'), undefined, '', new LoadFeatures(features))
      fleet.update([{ ...listed(1), address: `127.0.0.1:${(server.address() as AddressInfo).port}` }])
      const [endpoint] = fleet.endpointsOf('pool')
      const connection = endpoint === undefined ? undefined : fleet.connectionsTo(endpoint).acquire(1)
      await new Promise<void>((resolve, reject) => {
        connection?.send({ method: 'GET', target: '/', headers: ['host', 'h'], body: undefined }, { sending: () => true, head: () => {}, data: () => true, complete: resolve, failed: reject })
      })
      connection?.close()
      server.close()
      return fleet.traffic.ofRequest('chat', 0)?.distances.knownCount
    }

    it('learns its distance', async () => {
      expect(await knownAfterRequest(['data-centre-distance'])).toBe(1)
    })

    it('leaves estimates as they were while the feature is off', async () => {
      expect(await knownAfterRequest([])).toBeUndefined()
    })
  })
})
