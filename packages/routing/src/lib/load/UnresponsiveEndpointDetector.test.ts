import { describe, expect, it } from 'vitest'
import { NO_ENDPOINT_LOAD, type EndpointLoad } from './loadReport.js'
import { LoadAggregator } from './LoadAggregator.js'
import { UnresponsiveEndpointDetector } from './UnresponsiveEndpointDetector.js'

const work = (endpoint: string, figures: Partial<EndpointLoad>): EndpointLoad => ({ ...NO_ENDPOINT_LOAD, endpoint, ...figures })
const silent = (endpoint: string): EndpointLoad => work(endpoint, { inFlight: 5, lastByteAgoMs: 900, waitedMs: 900 })
const busy = (endpoint: string): EndpointLoad => work(endpoint, { inFlight: 5, lastByteAgoMs: 20, waitedMs: 900 })

describe('SilentEndpoints', () => {
  it('asks one that is silent to all, or avoided by several, and no other', () => {
    const silence = new UnresponsiveEndpointDetector()
    silence.observe([
      silent('dark'), busy('busy'), work('idle', {}), work('starting', { inFlight: 2, lastByteAgoMs: 900, waitedMs: 900 }),
      work('avoided', { avoiders: 2 }), work('missed', { avoiders: 1 })
    ], 1000)
    expect(silence.takeDueProbes(1000)).toEqual(['dark', 'avoided'])
    expect(silence.takeDueProbes(1001)).toEqual([])
    expect(silence.unresponsive).toEqual([])
  })

  it('trusts one that answers for a while: its requests are slow, and not lost', () => {
    const silence = new UnresponsiveEndpointDetector()
    silence.observe([silent('slow')], 1000)
    silence.takeDueProbes(1000)
    expect(silence.recordProbeResult('slow', true, 1002)).toBeUndefined()
    silence.observe([silent('slow')], 2500)
    expect(silence.takeDueProbes(2500)).toEqual([])
    silence.observe([silent('slow')], 3100)
    expect(silence.takeDueProbes(3100)).toEqual(['slow'])
  })

  describe('one that does not answer', () => {
    function darkAt (now: number): UnresponsiveEndpointDetector {
      const silence = new UnresponsiveEndpointDetector()
      silence.observe([silent('dark')], now)
      silence.takeDueProbes(now)
      expect(silence.recordProbeResult('dark', false, now + 250)).toEqual({ endpoint: 'dark', isUnresponsive: true })
      return silence
    }

    it('stays unresponsive although its callers have left, until it answers', () => {
      const silence = darkAt(0)
      let questions = 0
      for (let now = 300; now < 12_000; now += 100) {
        silence.observe([], now)
        for (const endpoint of silence.takeDueProbes(now)) {
          questions += 1
          silence.recordProbeResult(endpoint, false, now + 50)
        }
        expect(silence.unresponsive).toEqual(['dark'])
      }
      // Each is priced.
      expect(questions).toBeLessThan(15)
      const asked = [...Array(20).keys()].map(step => 12_000 + step * 100).find(now => silence.takeDueProbes(now).length > 0) ?? 0
      expect(silence.recordProbeResult('dark', true, asked)).toEqual({ endpoint: 'dark', isUnresponsive: false })
      expect(silence.unresponsive).toEqual([])
    })

    it('responds again once some host hears from it after it was found, and not by what was heard before', () => {
      const silence = darkAt(0)
      expect(silence.observe([work('dark', { inFlight: 1, lastByteAgoMs: 1200 })], 1000)).toEqual([])
      expect(silence.observe([work('dark', { inFlight: 1, lastByteAgoMs: 30 })], 1000)).toEqual([{ endpoint: 'dark', isUnresponsive: false }])
    })

    it('is forgotten when it is listed no more', () => {
      const silence = darkAt(0)
      silence.retain(endpoint => endpoint !== 'dark')
      expect(silence.unresponsive).toEqual([])
    })
  })

  describe('before 195 hosts that ask and tell as they place requests', () => {
    const hosts = 195
    const engines = 55
    const darkEngines = 11

    /** Requests that go to dark engines from the moment when they fall silent, in seconds after it. */
    function lostBySecond (isAsked: boolean): number[] {
      let seed = 11
      const random = (): number => {
        seed = (Math.imul(seed, 1664525) + 1013904223) >>> 0
        return seed / 2 ** 32
      }
      const board = new LoadAggregator()
      const silence = new UnresponsiveEndpointDetector()
      const underWay = Array.from({ length: hosts }, () => new Map<string, number[]>())
      const lastBytes = Array.from({ length: hosts }, () => new Map<string, number>())
      const lost: number[] = []
      const asked: Array<{ readonly endpoint: string, readonly at: number }> = []
      const isDark = (engine: number, now: number): boolean => engine < darkEngines && now >= 2000
      for (let now = 0; now < 8000; now += 4) {
        for (let arrival = 0; arrival < 3; arrival += 1) {
          const host = Math.floor(random() * hosts)
          const avoided = new Set(board.totals(now).work.filter(({ unresponsive, inFlight, lastByteAgoMs, waitedMs }) =>
            unresponsive > 0 || (inFlight >= 3 && lastByteAgoMs > 500 && waitedMs > 500)).map(({ endpoint }) => endpoint))
          let engine = Math.floor(random() * engines)
          for (let turn = 0; turn < 20 && avoided.has(`e${engine}`); turn += 1) engine = Math.floor(random() * engines)
          const sent = underWay[host]
          sent?.set(`e${engine}`, [...sent.get(`e${engine}`) ?? [], now])
          if (isDark(engine, now)) lost[Math.floor((now - 2000) / 1000)] = (lost[Math.floor((now - 2000) / 1000)] ?? 0) + 1
          report(host, now)
        }
        if (now % 100 !== 0) continue
        for (let host = now / 100 % 3; host < hosts; host += 3) report(host, now)
        if (!isAsked) continue
        silence.observe(board.totals(now).work, now)
        for (const endpoint of silence.takeDueProbes(now)) asked.push({ endpoint, at: now })
        for (const { endpoint } of asked.filter(({ at }) => at === now - 200)) silence.recordProbeResult(endpoint, !isDark(Number(endpoint.slice(1)), now), now)
        board.setUnresponsive(silence.unresponsive)
      }
      return lost

      /** An engine sends an event every ten milliseconds; an answer takes half a second, and callers of dark engines leave after 2.5. */
      function report (host: number, now: number): void {
        const sent = underWay[host] ?? new Map<string, number[]>()
        for (const [endpoint, times] of sent) {
          const engine = Number(endpoint.slice(1))
          const left = times.filter(at => now - at < (isDark(engine, now) ? 2500 : 500))
          if (left.length === 0) sent.delete(endpoint)
          else sent.set(endpoint, left)
          if (!isDark(engine, now)) lastBytes[host]?.set(endpoint, now)
        }
        board.observe({
          host: `h${host}`,
          sequence: now,
          links: [],
          work: [...sent].map(([endpoint, times]) =>
            work(endpoint, { inFlight: times.length, lastByteAgoMs: now - (lastBytes[host]?.get(endpoint) ?? -60_000), waitedMs: now - (times[0] ?? now) }))
        }, now)
      }
    }

    it('loses requests in the second in which a fifth of 55 engines goes dark, and none after it', () => {
      const [first = 0, ...later] = lostBySecond(true)
      expect(first).toBeGreaterThan(0)
      expect(later.reduce((sum, count) => sum + (count ?? 0), 0)).toBe(0)
    })

    it('goes on losing them if nobody is asked', () => {
      const later = lostBySecond(false).slice(1)
      expect(later.reduce((sum, count) => sum + (count ?? 0), 0)).toBeGreaterThan(100)
    })
  })
})
