import { describe, expect, it } from 'vitest'
import { LoadAggregator } from './LoadAggregator.js'
import { NO_ENDPOINT_LOAD, type EndpointRateLimit, type EndpointLoad } from './loadReport.js'
import { PeerLoad } from './PeerLoad.js'

const work = (endpoint: string, inFlight: number): EndpointLoad => ({ ...NO_ENDPOINT_LOAD, endpoint, inFlight, pendingTokens: inFlight * 100, heldTokens: inFlight * 1000 })

/** As it is when it has waited for longer since it was reported. */
const waited = (entry: EndpointLoad, waitedMs: number): EndpointLoad => ({ ...entry, waitedMs })

describe('LoadBoard', () => {
  it('knows how long ago an endpoint was heard although its hosts have not reported since', () => {
    const board = new LoadAggregator()
    board.observe({ host: 'a', sequence: 1, work: [{ ...work('e', 1), lastByteAgoMs: 100, waitedMs: 50 }, { ...work('f', 0), lastByteAgoMs: 59_900 }], links: [] }, 0)
    expect(board.totals(300).work).toMatchObject([{ lastByteAgoMs: 400, waitedMs: 350 }, { lastByteAgoMs: 60_000, waitedMs: 0 }])
  })

  it('tells of endpoints that answer nobody, also without work there', () => {
    const board = new LoadAggregator()
    board.observe({ host: 'a', sequence: 1, work: [work('e', 1)], links: [] }, 0)
    board.setUnresponsive(['e', 'f'])
    expect(board.totals(0).work).toMatchObject([{ endpoint: 'e', inFlight: 1, unresponsive: 1 }, { endpoint: 'f', inFlight: 0, unresponsive: 1 }])
  })

  it('tells the newest statement of a rate limit, and none after a while', () => {
    const board = new LoadAggregator()
    const limit = (requestsPerSecond: number | undefined, statedAgoMs: number): EndpointRateLimit => ({ endpoint: 'e', requestsPerSecond, statedAgoMs })
    board.observe({ host: 'a', sequence: 1, work: [], links: [], limits: [limit(2, 50)] }, 100)
    board.observe({ host: 'b', sequence: 1, work: [], links: [], limits: [limit(undefined, 80)] }, 100)
    expect(board.totals(100).limits).toEqual([limit(2, 50)])
    board.observe({ host: 'b', sequence: 2, work: [], links: [], limits: [limit(undefined, 0)] }, 200)
    expect(board.totals(1500).limits).toEqual([limit(undefined, 1300)])
    expect(board.totals(12_000).limits).toEqual([])
  })

  it('adds up the newest report of each host', () => {
    const board = new LoadAggregator()
    board.observe({ host: 'a', sequence: 1, work: [work('e', 9)], links: [] }, 0)
    board.observe({ host: 'a', sequence: 2, work: [work('e', 2)], links: [] }, 10)
    board.observe({ host: 'b', sequence: 7, work: [work('e', 3), work('f', 1)], links: [] }, 10)
    expect(board.totals(20).work).toEqual([waited(work('e', 5), 10), waited(work('f', 1), 10)])
  })

  it('ignores a report that was overtaken, but not a host that started again', () => {
    const board = new LoadAggregator()
    board.observe({ host: 'a', sequence: 5, work: [work('e', 5)], links: [] }, 0)
    board.observe({ host: 'a', sequence: 4, work: [work('e', 9)], links: [] }, 10)
    expect(board.totals(10).work).toEqual([waited(work('e', 5), 10)])
    board.observe({ host: 'a', sequence: 1, work: [work('e', 1)], links: [] }, 1500)
    expect(board.totals(1500).work).toEqual([work('e', 1)])
  })

  it('keeps the latest word from an endpoint, the longest wait for it, and the sum of what failed', () => {
    const board = new LoadAggregator()
    board.observe({ host: 'a', sequence: 1, work: [{ ...work('e', 1), lastByteAgoMs: 900, waitedMs: 200, avoiders: 1, outcomes: 4, failures: 3 }], links: [] }, 0)
    board.observe({ host: 'b', sequence: 1, work: [{ ...work('e', 1), lastByteAgoMs: 30, waitedMs: 700, avoiders: 1, outcomes: 2, failures: 0 }], links: [] }, 0)
    expect(board.totals(0).work[0]).toMatchObject({ lastByteAgoMs: 30, waitedMs: 700, avoiders: 2, outcomes: 6, failures: 3 })
  })

  it('forgets the work of a host that fell silent', () => {
    const board = new LoadAggregator()
    board.observe({ host: 'a', sequence: 1, work: [work('e', 5)], links: [] }, 0)
    expect(board.totals(2000).work).toEqual([])
  })

  it('adds up once for the reports of many hosts, and says which report of each is in it', () => {
    const board = new LoadAggregator()
    for (let host = 0; host < 73; host += 1) board.observe({ host: `h${host}`, sequence: 5, work: [work('e', 1)], links: [] }, 0)
    const totals = board.totals(0)
    expect(totals.work).toEqual([work('e', 73)])
    board.observe({ host: 'h0', sequence: 6, work: [work('e', 9)], links: [] }, 10)
    expect(board.totals(10)).toBe(totals)
    expect(board.totals(10).sequences.get('h0')).toBe(5)
    expect(board.totals(30).sequences.get('h0')).toBe(6)
    expect(board.totals(30).work).toEqual([waited(work('e', 81), 30)])
  })
})

describe('OthersWork', () => {
  it('takes off what this host had reported, not what it has by now', () => {
    const others = new PeerLoad()
    others.recordOwnReport(1, { work: [work('e', 2)], links: [] })
    others.recordOwnReport(2, { work: [work('e', 6)], links: [] })
    others.recordTotals({ sequence: 1, work: [work('e', 5)], links: [] }, 0)
    expect(others.forEndpoint('e')).toMatchObject({ inFlight: 3, pendingTokens: 300 })
  })

  it('ignores an answer that was overtaken or that answers nothing', () => {
    const others = new PeerLoad()
    others.recordOwnReport(1, { work: [], links: [] })
    others.recordOwnReport(2, { work: [], links: [] })
    others.recordTotals({ sequence: 2, work: [work('e', 4)], links: [] }, 0)
    others.recordTotals({ sequence: 1, work: [work('e', 9)], links: [] }, 1)
    others.recordTotals({ sequence: 77, work: [work('e', 9)], links: [] }, 1)
    expect(others.forEndpoint('e').inFlight).toBe(4)
  })

  it('is not recent once answers stop', () => {
    const others = new PeerLoad()
    others.recordOwnReport(1, { work: [], links: [] })
    others.recordTotals({ sequence: 1, work: [], links: [] }, 100)
    expect(others.isRecent(300)).toBe(true)
    expect(others.isRecent(900)).toBe(false)
  })
})
