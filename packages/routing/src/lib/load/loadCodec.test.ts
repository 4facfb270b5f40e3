import { encode } from '@msgpack/msgpack'
import { describe, expect, it } from 'vitest'
import { decodeLoadReport, decodeLoadTotals, encodeLoadReport, encodeLoadTotals, frameLoadTotals } from './loadCodec.js'
import type { LinkLoad } from './linkLoad.js'
import type { EndpointRateLimit, EndpointLoad } from './loadReport.js'

const work = (number: number): EndpointLoad => ({ endpoint: `i-${(0x7f3a91c2 + number).toString(16)}`, inFlight: 7, pendingTokens: 12_352, heldTokens: 98_768, lastByteAgoMs: 180, waitedMs: 2_400, avoiders: 2, unresponsive: 1, outcomes: 31, failures: 4 })
const pool = Array.from({ length: 98 }, (_, number) => work(number))
const links: LinkLoad[] = Array.from({ length: 24 }, (_, number) => ({ link: `keep-${number}>north`, pendingBytes: number * 2 ** 22, samples: 3.5, slower: 4.25, faster: 0.5 }))

describe('loadCodec', () => {
  it('brings reports and totals across unchanged', () => {
    const report = { host: '10.0.0.1:8005', sequence: 4_000_000, work: pool, links }
    expect(decodeLoadReport(encodeLoadReport(report))).toEqual(report)
    expect(decodeLoadTotals(frameLoadTotals(4_000_000, encodeLoadTotals({ work: pool, links })))).toEqual({ sequence: 4_000_000, work: pool, links })
  })

  it('brings rate limits across, and takes no byte where nobody names one', () => {
    const limits: EndpointRateLimit[] = [{ endpoint: 'i-1', requestsPerSecond: 2.25, statedAgoMs: 340 }, { endpoint: 'i-2', requestsPerSecond: 0, statedAgoMs: 0 }, { endpoint: 'i-3', requestsPerSecond: undefined, statedAgoMs: 9000 }]
    const report = { host: 'h', sequence: 1, work: [], links: [] }
    expect(decodeLoadReport(encodeLoadReport({ ...report, limits })).limits).toEqual(limits)
    expect(decodeLoadTotals(frameLoadTotals(1, encodeLoadTotals({ work: [], links: [], limits }))).limits).toEqual(limits)
    expect(encodeLoadReport({ ...report, limits: [] })).toEqual(encodeLoadReport(report))
  })

  it('counts tokens in blocks of an engine\'s memory, and large figures as the largest', () => {
    const report = { host: 'h', sequence: 1, work: [{ ...work(1), pendingTokens: 12_345, heldTokens: 5_000_000 }], links: [] }
    const [read] = decodeLoadReport(encodeLoadReport(report)).work
    expect(Math.abs((read?.pendingTokens ?? 0) - 12_345)).toBeLessThanOrEqual(8)
    expect(read?.heldTokens).toBe(65_535 * 16)
    expect(decodeLoadReport(encodeLoadReport({ host: 'h', sequence: 1, work: [], links: [] })).work).toEqual([])
  })

  it('brings any name across: operators name stores as they like', () => {
    const named = { host: 'h', sequence: 1, work: [{ ...work(1), endpoint: 'a,b%2Cc' }, { ...work(1), endpoint: '%' }], links: [{ link: 'keep, all>north', pendingBytes: 0, samples: 1, slower: 0, faster: 0 }] }
    const { work: readWork, links: readLinks } = decodeLoadReport(encodeLoadReport(named))
    expect(readWork.map(entry => entry.endpoint)).toEqual(['a,b%2Cc', '%'])
    expect(readLinks.map(entry => entry.link)).toEqual(['keep, all>north'])
  })

  it('keeps the totals of 98 endpoints and of six stores\' links to four data centres within three packets of an Ethernet link', () => {
    expect(frameLoadTotals(1, encodeLoadTotals({ work: pool, links: [] })).length).toBeLessThan(2 * 1472)
    expect(frameLoadTotals(1, encodeLoadTotals({ work: pool, links })).length).toBeLessThan(3 * 1472)
  })

  it('refuses bytes that are none of ours, and figures that do not fit the endpoints', () => {
    expect(() => decodeLoadReport(Buffer.from('anything'))).toThrow()
    expect(() => decodeLoadTotals(Buffer.from('any'))).toThrow()
    const broken = encodeLoadReport({ host: 'h', sequence: 1, work: [work(1)], links: [] }).slice(0, -1)
    expect(() => decodeLoadReport(broken)).toThrow()
    expect(() => decodeLoadReport(encode(['h', 1, ['a,b', new Uint8Array(16)], ['', new Uint8Array(0)]]))).toThrow('2 endpoints')
    expect(() => decodeLoadReport(encode(['h', 1, ['', new Uint8Array(0)], ['s>north', new Uint8Array(7)]]))).toThrow('1 endpoints or links')
  })
})
