import { describe, expect, it } from 'vitest'
import { decodeLoadReport, decodeLoadTotals, encodeLoadReport, encodeLoadTotals, frameLoadTotals } from './loadCodec.js'
import type { EndpointWork } from './loadReport.js'

const work = (number: number): EndpointWork => ({ endpoint: `i-${(0x7f3a91c2 + number).toString(16)}`, inFlight: 7, pendingTokens: 12_345, heldTokens: 98_765, heardAgoMs: 180, waitedMs: 2_400, avoiders: 2, outcomes: 31, failures: 4 })
const pool = Array.from({ length: 98 }, (_, number) => work(number))

describe('loadCodec', () => {
  it('brings reports and totals across unchanged', () => {
    const report = { host: '10.0.0.1:8005', sequence: 4_000_000, work: pool }
    expect(decodeLoadReport(encodeLoadReport(report))).toEqual(report)
    expect(decodeLoadTotals(frameLoadTotals(4_000_000, encodeLoadTotals(pool)))).toEqual({ sequence: 4_000_000, work: pool })
  })

  it('keeps the totals of 98 endpoints within three packets of an Ethernet link', () => {
    expect(frameLoadTotals(1, encodeLoadTotals(pool)).length).toBeLessThan(3 * 1472)
  })

  it('refuses bytes that are none of ours, and columns of different lengths', () => {
    expect(() => decodeLoadReport(Buffer.from('anything'))).toThrow()
    expect(() => decodeLoadTotals(Buffer.from('any'))).toThrow()
    const broken = encodeLoadReport({ host: 'h', sequence: 1, work: [work(1)] }).slice(0, -1)
    expect(() => decodeLoadReport(broken)).toThrow()
  })
})
