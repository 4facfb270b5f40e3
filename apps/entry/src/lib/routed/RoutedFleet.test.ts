import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, expect, it } from 'vitest'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { LoadFeatures, type LoadFeature } from '@eelgrassmux/routing/features/LoadFeatures'
import { LoadAggregator } from '@eelgrassmux/routing/load/LoadAggregator'
import { NO_ENDPOINT_LOAD, type LoadReport } from '@eelgrassmux/routing/load/loadReport'
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
      fleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] }, now)
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
      fleet.otherHostsLoad.recordOwnReport(1, { work: [], links: [] }, now - 200)
      fleet.otherHostsLoad.recordTotals({ sequence: 1, work: [], links: [], brittle: [{ endpoint: endpoint.incarnation, rejectionsPerSecond: 4, statedAgoMs: 100 }] }, now - 200)
      fleet.applyObservations()
      expect(endpoint.brittleness.rejectionsPerSecond).toBeUndefined()
    })
  })

  describe('when totals of the hosts were computed before this host read an answer', () => {
    // Guards against a lifted bound or pace that comes back because the ages in totals that are sent again count from when they come.
    it('keeps what this host has read since, however late the totals come', () => {
      const { fleet, incarnations: [endpoint] } = fleetAfter(1000)
      if (endpoint === undefined) throw new Error('no endpoint')
      const aggregator = new LoadAggregator()
      const start = performance.now() - 100
      const report = (host: string, sequence: number): LoadReport => ({
        host, sequence, work: [], links: [], brittle: [{ endpoint: endpoint.incarnation, rejectionsPerSecond: 4, statedAgoMs: 0 }], paces: [{ endpoint: endpoint.incarnation, factor: 3, statedAgoMs: 0 }]
      })
      const exchange = (sequence: number, askedAt: number, answeredAt: number): void => {
        fleet.otherHostsLoad.recordOwnReport(sequence, { work: [], links: [] }, askedAt)
        aggregator.observe({ host: 'own', sequence, work: [], links: [] }, askedAt)
        const totals = aggregator.totals(askedAt)
        fleet.otherHostsLoad.recordTotals({ ...totals, sequence: totals.sequences.get('own') ?? -1 }, answeredAt)
        fleet.applyObservations()
      }
      aggregator.observe(report('other', 1), start)
      exchange(1, start, start + 1)
      expect(endpoint.brittleness.rejectionsPerSecond).toBe(4)
      endpoint.brittleness.observeAnswer(undefined, start + 10)
      endpoint.paceStatements.observe(1, start + 10)
      exchange(2, start + 20, start + 30)
      expect(endpoint.brittleness.rejectionsPerSecond).toBeUndefined()
      expect(endpoint.paceStatements.newest(fleet.otherHostsLoad.paceOf(endpoint.incarnation), start + 30)?.factor).toBe(1)
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
