import { encode } from '@msgpack/msgpack'
import { describe, expect, it } from 'vitest'
import { decodeLoadReport, decodeLoadTotals, encodeLoadReport, encodeLoadTotals, frameLoadTotals } from './loadCodec.js'
import type { LinkLoad } from './linkLoad.js'
import type { EndpointRateLimit, EndpointLoad } from './loadReport.js'

const work = (number: number): EndpointLoad => ({ endpoint: `i-${(0x7f3a91c2 + number).toString(16)}`, inFlight: 7, pendingTokens: 12_352, heldTokens: 98_768, lastByteAgoMs: 180, waitedMs: 2_400, avoiders: 2, unresponsive: 1, outcomes: 31, failures: 4 })
const pool = Array.from({ length: 98 }, (_, number) => work(number))
const links: LinkLoad[] = Array.from({ length: 24 }, (_, number) => ({ link: `keep-${number}>north`, pendingBytes: number * 2 ** 22, samples: 3.5, slower: 4.25, faster: 0.5 }))

describe('loadCodec', () => {
  it('round-trips reports and totals', () => {
    const report = { host: '10.0.0.1:8005', sequence: 4_000_000, work: pool, links }
    expect(decodeLoadReport(encodeLoadReport(report))).toEqual(report)
    expect(decodeLoadTotals(frameLoadTotals(4_000_000, encodeLoadTotals({ work: pool, links })))).toEqual({ sequence: 4_000_000, work: pool, links })
  })

  it('round-trips rate limits, and adds no bytes if there are none', () => {
    const limits: EndpointRateLimit[] = [{ endpoint: 'i-1', requestsPerSecond: 2.25, statedAgoMs: 340 }, { endpoint: 'i-2', requestsPerSecond: 0, statedAgoMs: 0 }, { endpoint: 'i-3', requestsPerSecond: undefined, statedAgoMs: 9000 }]
    const report = { host: 'h', sequence: 1, work: [], links: [] }
    expect(decodeLoadReport(encodeLoadReport({ ...report, limits })).limits).toEqual(limits)
    expect(decodeLoadTotals(frameLoadTotals(1, encodeLoadTotals({ work: [], links: [], limits }))).limits).toEqual(limits)
    expect(encodeLoadReport({ ...report, limits: [] })).toEqual(encodeLoadReport(report))
  })

  it('round-trips the paces of machines, and adds no bytes if there are none', () => {
    const paces = [{ endpoint: 'i-1', factor: 2.5, statedAgoMs: 130 }, { endpoint: 'i-2', factor: 1, statedAgoMs: 0 }]
    const limits: EndpointRateLimit[] = [{ endpoint: 'i-1', requestsPerSecond: 2.25, statedAgoMs: 340 }]
    const report = { host: 'h', sequence: 1, work: [], links: [] }
    expect(decodeLoadReport(encodeLoadReport({ ...report, paces }))).toEqual({ ...report, paces })
    expect(decodeLoadReport(encodeLoadReport({ ...report, limits, paces }))).toEqual({ ...report, limits, paces })
    expect(decodeLoadTotals(frameLoadTotals(1, encodeLoadTotals({ work: [], links: [], paces }))).paces).toEqual(paces)
    expect(encodeLoadReport({ ...report, paces: [] })).toEqual(encodeLoadReport(report))
    expect(encodeLoadTotals({ work: [], links: [], limits: [], paces: [] })).toEqual(encodeLoadTotals({ work: [], links: [] }))
  })

  it('round-trips the running streams with a limited pause, and adds no bytes if there are none', () => {
    const streams = [{ endpoint: work(2).endpoint, streams: 7, shortestPauseMs: 300 }]
    const report = { host: 'h', sequence: 1, work: [work(1), work(2)], links: [] }
    expect(decodeLoadReport(encodeLoadReport({ ...report, streams }))).toEqual({ ...report, streams })
    expect(decodeLoadTotals(frameLoadTotals(1, encodeLoadTotals({ work: report.work, links: [], streams }))).streams).toEqual(streams)
    expect(encodeLoadReport({ ...report, streams: [] })).toEqual(encodeLoadReport(report))
  })

  it('round-trips the rejections that endpoints tolerate, and adds no bytes if none state them', () => {
    const brittle = [{ endpoint: 'i-1', rejectionsPerSecond: 4, statedAgoMs: 250 }]
    const report = { host: 'h', sequence: 1, work: [work(1)], links: [] }
    expect(decodeLoadReport(encodeLoadReport({ ...report, brittle }))).toEqual({ ...report, brittle })
    expect(decodeLoadTotals(frameLoadTotals(1, encodeLoadTotals({ work: [], links: [], brittle }))).brittle).toEqual(brittle)
    expect(encodeLoadReport({ ...report, brittle: [] })).toEqual(encodeLoadReport(report))
  })

  it('ignores feature tables that it does not know, so that a later release can add some', () => {
    const empty = ['', new Uint8Array(0)]
    expect(decodeLoadReport(encode(['h', 1, empty, empty, null, { later: ['a', new Uint8Array(2)] }]))).toEqual({ host: 'h', sequence: 1, work: [], links: [] })
  })

  it('rounds tokens to memory blocks of an engine, and clamps large figures', () => {
    const report = { host: 'h', sequence: 1, work: [{ ...work(1), pendingTokens: 12_345, heldTokens: 5_000_000 }], links: [] }
    const [read] = decodeLoadReport(encodeLoadReport(report)).work
    expect(Math.abs((read?.pendingTokens ?? 0) - 12_345)).toBeLessThanOrEqual(8)
    expect(read?.heldTokens).toBe(65_535 * 16)
    expect(decodeLoadReport(encodeLoadReport({ host: 'h', sequence: 1, work: [], links: [] })).work).toEqual([])
  })

  it('round-trips any name, because operators may use any character in store names', () => {
    const named = { host: 'h', sequence: 1, work: [{ ...work(1), endpoint: 'a,b%2Cc' }, { ...work(1), endpoint: '%' }], links: [{ link: 'keep, all>north', pendingBytes: 0, samples: 1, slower: 0, faster: 0 }] }
    const { work: readWork, links: readLinks } = decodeLoadReport(encodeLoadReport(named))
    expect(readWork.map(entry => entry.endpoint)).toEqual(['a,b%2Cc', '%'])
    expect(readLinks.map(entry => entry.link)).toEqual(['keep, all>north'])
  })

  it('encodes the totals of 98 endpoints and of the links of six stores to four data centres in three Ethernet packets', () => {
    expect(frameLoadTotals(1, encodeLoadTotals({ work: pool, links: [] })).length).toBeLessThan(2 * 1472)
    expect(frameLoadTotals(1, encodeLoadTotals({ work: pool, links })).length).toBeLessThan(3 * 1472)
  })

  it('rejects invalid bytes, and tables whose size does not match their names', () => {
    expect(() => decodeLoadReport(Buffer.from('anything'))).toThrow()
    expect(() => decodeLoadTotals(Buffer.from('any'))).toThrow()
    const broken = encodeLoadReport({ host: 'h', sequence: 1, work: [work(1)], links: [] }).slice(0, -1)
    expect(() => decodeLoadReport(broken)).toThrow()
    expect(() => decodeLoadReport(encode(['h', 1, ['a,b', new Uint8Array(16)], ['', new Uint8Array(0)]]))).toThrow('2 endpoints')
    expect(() => decodeLoadReport(encode(['h', 1, ['', new Uint8Array(0)], ['s>north', new Uint8Array(7)]]))).toThrow('1 endpoints or links')
  })
})
