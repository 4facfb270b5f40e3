import { describe, expect, it } from 'vitest'
import { LoadAggregator } from './LoadAggregator.js'
import { NO_ENDPOINT_LOAD, type EndpointRateLimit, type EndpointLoad, type LoadReport } from './loadReport.js'
import { PeerLoad } from './PeerLoad.js'

const work = (endpoint: string, inFlight: number): EndpointLoad => ({ ...NO_ENDPOINT_LOAD, endpoint, inFlight, pendingTokens: inFlight * 100, heldTokens: inFlight * 1000 })

/** Returns the entry with another waiting time. */
const waited = (entry: EndpointLoad, waitedMs: number): EndpointLoad => ({ ...entry, waitedMs })

describe('LoadAggregator', () => {
  it('advances the ages of an endpoint although its hosts have not reported since', () => {
    const aggregator = new LoadAggregator()
    aggregator.observe({ host: 'a', sequence: 1, work: [{ ...work('e', 1), lastByteAgoMs: 100, waitedMs: 50 }, { ...work('f', 0), lastByteAgoMs: 59_900 }], links: [] }, 0)
    expect(aggregator.totals(300).work).toMatchObject([{ lastByteAgoMs: 400, waitedMs: 350 }, { lastByteAgoMs: 60_000, waitedMs: 0 }])
  })

  it('includes unresponsive endpoints even without load', () => {
    const aggregator = new LoadAggregator()
    aggregator.observe({ host: 'a', sequence: 1, work: [work('e', 1)], links: [] }, 0)
    aggregator.setUnresponsive(['e', 'f'])
    expect(aggregator.totals(0).work).toMatchObject([{ endpoint: 'e', inFlight: 1, unresponsive: 1 }, { endpoint: 'f', inFlight: 0, unresponsive: 1 }])
  })

  it('returns the latest rate limit, until it expires', () => {
    const aggregator = new LoadAggregator()
    const limit = (requestsPerSecond: number | undefined, statedAgoMs: number): EndpointRateLimit => ({ endpoint: 'e', requestsPerSecond, statedAgoMs })
    aggregator.observe({ host: 'a', sequence: 1, work: [], links: [], limits: [limit(2, 50)] }, 100)
    aggregator.observe({ host: 'b', sequence: 1, work: [], links: [], limits: [limit(undefined, 80)] }, 100)
    expect(aggregator.totals(100).limits).toEqual([limit(2, 50)])
    aggregator.observe({ host: 'b', sequence: 2, work: [], links: [], limits: [limit(undefined, 0)] }, 200)
    expect(aggregator.totals(1500).limits).toEqual([limit(undefined, 1300)])
    expect(aggregator.totals(12_000).limits).toEqual([])
  })

  it('returns the newest pace of each machine, until it expires or the usual one supersedes it', () => {
    const aggregator = new LoadAggregator()
    const report = (host: string, sequence: number, factor: number, statedAgoMs: number): LoadReport => ({ host, sequence, work: [], links: [], paces: [{ endpoint: 'e', factor, statedAgoMs }] })
    aggregator.observe(report('a', 1, 2.5, 100), 100)
    aggregator.observe(report('b', 1, 1.5, 150), 100)
    expect(aggregator.totals(100).paces).toEqual([{ endpoint: 'e', factor: 2.5, statedAgoMs: 100 }])
    expect(aggregator.totals(251).paces).toEqual([])
    aggregator.observe(report('a', 2, 2.5, 0), 300)
    aggregator.observe(report('b', 2, 1, 0), 320)
    aggregator.observe(report('a', 3, 2.5, 30), 330)
    expect(aggregator.totals(330).paces).toEqual([])
  })

  it('returns the rejections that an endpoint tolerates, until it expires', () => {
    const aggregator = new LoadAggregator()
    aggregator.observe({ host: 'a', sequence: 1, work: [], links: [], brittle: [{ endpoint: 'e', rejectionsPerSecond: 4, statedAgoMs: 50 }] }, 100)
    expect(aggregator.totals(300).brittle).toEqual([{ endpoint: 'e', rejectionsPerSecond: 4, statedAgoMs: 250 }])
    expect(aggregator.totals(10_000).brittle).toEqual([])
  })

  it('sums the running streams with a limited pause, and keeps the shortest limit', () => {
    const aggregator = new LoadAggregator()
    const report = (host: string, streams: number, shortestPauseMs: number): LoadReport => ({ host, sequence: 1, work: [], links: [], streams: [{ endpoint: 'e', streams, shortestPauseMs }] })
    aggregator.observe(report('a', 2, 600), 0)
    aggregator.observe(report('b', 3, 300), 0)
    expect(aggregator.totals(0).streams).toEqual([{ endpoint: 'e', streams: 5, shortestPauseMs: 300 }])
    expect(aggregator.totals(2000).streams).toEqual([])
  })

  it('sums the latest report of each host', () => {
    const aggregator = new LoadAggregator()
    aggregator.observe({ host: 'a', sequence: 1, work: [work('e', 9)], links: [] }, 0)
    aggregator.observe({ host: 'a', sequence: 2, work: [work('e', 2)], links: [] }, 10)
    aggregator.observe({ host: 'b', sequence: 7, work: [work('e', 3), work('f', 1)], links: [] }, 10)
    expect(aggregator.totals(20).work).toEqual([waited(work('e', 5), 10), waited(work('f', 1), 10)])
  })

  it('ignores a report that arrives out of order, but accepts those of a restarted host', () => {
    const aggregator = new LoadAggregator()
    aggregator.observe({ host: 'a', sequence: 5, work: [work('e', 5)], links: [] }, 0)
    aggregator.observe({ host: 'a', sequence: 4, work: [work('e', 9)], links: [] }, 10)
    expect(aggregator.totals(10).work).toEqual([waited(work('e', 5), 10)])
    aggregator.observe({ host: 'a', sequence: 1, work: [work('e', 1)], links: [] }, 1500)
    expect(aggregator.totals(1500).work).toEqual([work('e', 1)])
  })

  it('keeps the latest byte from an endpoint, the longest wait, and the sum of failures', () => {
    const aggregator = new LoadAggregator()
    aggregator.observe({ host: 'a', sequence: 1, work: [{ ...work('e', 1), lastByteAgoMs: 900, waitedMs: 200, avoiders: 1, outcomes: 4, failures: 3 }], links: [] }, 0)
    aggregator.observe({ host: 'b', sequence: 1, work: [{ ...work('e', 1), lastByteAgoMs: 30, waitedMs: 700, avoiders: 1, outcomes: 2, failures: 0 }], links: [] }, 0)
    expect(aggregator.totals(0).work[0]).toMatchObject({ lastByteAgoMs: 30, waitedMs: 700, avoiders: 2, outcomes: 6, failures: 3 })
  })

  it('drops the load of a host that stops reporting', () => {
    const aggregator = new LoadAggregator()
    aggregator.observe({ host: 'a', sequence: 1, work: [work('e', 5)], links: [] }, 0)
    expect(aggregator.totals(2000).work).toEqual([])
  })

  it('computes the totals once for many reports, and returns the sequence of each included report', () => {
    const aggregator = new LoadAggregator()
    for (let host = 0; host < 73; host += 1) aggregator.observe({ host: `h${host}`, sequence: 5, work: [work('e', 1)], links: [] }, 0)
    const totals = aggregator.totals(0)
    expect(totals.work).toEqual([work('e', 73)])
    aggregator.observe({ host: 'h0', sequence: 6, work: [work('e', 9)], links: [] }, 10)
    expect(aggregator.totals(10)).toBe(totals)
    expect(aggregator.totals(10).sequences.get('h0')).toBe(5)
    expect(aggregator.totals(30).sequences.get('h0')).toBe(6)
    expect(aggregator.totals(30).work).toEqual([waited(work('e', 81), 30)])
  })
})

describe('PeerLoad', () => {
  it('subtracts the load that this host reported, not its current load', () => {
    const peerLoad = new PeerLoad()
    peerLoad.recordOwnReport(1, { work: [work('e', 2)], links: [] }, 0)
    peerLoad.recordOwnReport(2, { work: [work('e', 6)], links: [] }, 0)
    peerLoad.recordTotals({ sequence: 1, work: [work('e', 5)], links: [] }, 0)
    expect(peerLoad.forEndpoint('e')).toMatchObject({ inFlight: 3, pendingTokens: 300 })
  })

  it('ignores answers that arrive out of order or that belong to no report', () => {
    const peerLoad = new PeerLoad()
    peerLoad.recordOwnReport(1, { work: [], links: [] }, 0)
    peerLoad.recordOwnReport(2, { work: [], links: [] }, 0)
    peerLoad.recordTotals({ sequence: 2, work: [work('e', 4)], links: [] }, 0)
    peerLoad.recordTotals({ sequence: 1, work: [work('e', 9)], links: [] }, 1)
    peerLoad.recordTotals({ sequence: 77, work: [work('e', 9)], links: [] }, 1)
    expect(peerLoad.forEndpoint('e').inFlight).toBe(4)
  })

  it('subtracts the streams that this host reported', () => {
    const peerLoad = new PeerLoad()
    const streams = (count: number): Array<{ endpoint: string, streams: number, shortestPauseMs: number }> => [{ endpoint: 'e', streams: count, shortestPauseMs: 300 }]
    peerLoad.recordOwnReport(1, { work: [], links: [], streams: streams(2) }, 0)
    peerLoad.recordTotals({ sequence: 1, work: [], links: [], streams: streams(5) }, 0)
    expect(peerLoad.streamsAt('e')).toEqual({ streams: 3, shortestPauseMs: 300 })
    peerLoad.recordOwnReport(2, { work: [], links: [], streams: streams(2) }, 0)
    peerLoad.recordTotals({ sequence: 2, work: [], links: [], streams: streams(2) }, 0)
    expect(peerLoad.streamsAt('e').streams).toBe(0)
  })

  it('dates the paces of machines by its own report, since the answer may be late', () => {
    const peerLoad = new PeerLoad()
    peerLoad.recordOwnReport(1, { work: [], links: [] }, 70)
    peerLoad.recordTotals({ sequence: 1, work: [], links: [], paces: [{ endpoint: 'e', factor: 2.5, statedAgoMs: 40 }] }, 100)
    expect(peerLoad.paceOf('e')).toEqual({ factor: 2.5, statedAt: 30 })
    expect(peerLoad.paceOf('f')).toBeUndefined()
  })

  it('is no longer recent once answers stop', () => {
    const peerLoad = new PeerLoad()
    peerLoad.recordOwnReport(1, { work: [], links: [] }, 0)
    peerLoad.recordTotals({ sequence: 1, work: [], links: [] }, 100)
    expect(peerLoad.isRecent(300)).toBe(true)
    expect(peerLoad.isRecent(900)).toBe(false)
  })
})
