import { describe, expect, it } from 'vitest'
import { NO_ENDPOINT_LOAD, type EndpointLoad } from './loadReport.js'
import { LoadAggregator } from './LoadAggregator.js'
import { UnresponsiveEndpointDetector } from './UnresponsiveEndpointDetector.js'

const work = (endpoint: string, figures: Partial<EndpointLoad>): EndpointLoad => ({ ...NO_ENDPOINT_LOAD, endpoint, ...figures })
const silent = (endpoint: string): EndpointLoad => work(endpoint, { inFlight: 5, lastByteAgoMs: 900, waitedMs: 900 })
const busy = (endpoint: string): EndpointLoad => work(endpoint, { inFlight: 5, lastByteAgoMs: 20, waitedMs: 900 })

describe('UnresponsiveEndpointDetector', () => {
  it('probes endpoints that are silent to all hosts or avoided by several, and no others', () => {
    const detector = new UnresponsiveEndpointDetector()
    detector.observe([
      silent('hung'), busy('busy'), work('idle', {}), work('starting', { inFlight: 2, lastByteAgoMs: 900, waitedMs: 900 }),
      work('avoided', { avoiders: 2 }), work('missed', { avoiders: 1 })
    ], 1000)
    expect(detector.takeDueProbes(1000)).toEqual(['hung', 'avoided'])
    expect(detector.takeDueProbes(1001)).toEqual([])
    expect(detector.unresponsive).toEqual([])
  })

  it('exempts an endpoint that answers for some time, because its requests are slow, not lost', () => {
    const detector = new UnresponsiveEndpointDetector()
    detector.observe([silent('slow')], 1000)
    detector.takeDueProbes(1000)
    expect(detector.recordProbeResult('slow', true, 1002)).toBeUndefined()
    detector.observe([silent('slow')], 2500)
    expect(detector.takeDueProbes(2500)).toEqual([])
    detector.observe([silent('slow')], 3100)
    expect(detector.takeDueProbes(3100)).toEqual(['slow'])
  })

  describe('an endpoint that does not answer', () => {
    function unresponsiveSince (now: number): UnresponsiveEndpointDetector {
      const detector = new UnresponsiveEndpointDetector()
      detector.observe([silent('hung')], now)
      detector.takeDueProbes(now)
      expect(detector.recordProbeResult('hung', false, now + 250)).toEqual({ endpoint: 'hung', isUnresponsive: true })
      return detector
    }

    it('stays unresponsive after its callers have disconnected, until it answers', () => {
      const detector = unresponsiveSince(0)
      let probes = 0
      for (let now = 300; now < 12_000; now += 100) {
        detector.observe([], now)
        for (const endpoint of detector.takeDueProbes(now)) {
          probes += 1
          detector.recordProbeResult(endpoint, false, now + 50)
        }
        expect(detector.unresponsive).toEqual(['hung'])
      }
      // Every probe is billed.
      expect(probes).toBeLessThan(15)
      const probedAt = [...Array(20).keys()].map(step => 12_000 + step * 100).find(now => detector.takeDueProbes(now).length > 0) ?? 0
      expect(detector.recordProbeResult('hung', true, probedAt)).toEqual({ endpoint: 'hung', isUnresponsive: false })
      expect(detector.unresponsive).toEqual([])
    })

    it('responds again once a host receives a byte after the failed probe, but not because of earlier bytes', () => {
      const detector = unresponsiveSince(0)
      expect(detector.observe([work('hung', { inFlight: 1, lastByteAgoMs: 1200 })], 1000)).toEqual([])
      expect(detector.observe([work('hung', { inFlight: 1, lastByteAgoMs: 30 })], 1000)).toEqual([{ endpoint: 'hung', isUnresponsive: false }])
    })

    it('is dropped when it is no longer listed', () => {
      const detector = unresponsiveSince(0)
      detector.retain(endpoint => endpoint !== 'hung')
      expect(detector.unresponsive).toEqual([])
    })
  })

  describe('with 195 hosts that exchange load as they place requests', () => {
    const hosts = 195
    const engines = 55
    const hungEngines = 11

    /** Returns the requests sent to hung engines in each second after the engines hang. */
    function lostBySecond (probes: boolean): number[] {
      let seed = 11
      const random = (): number => {
        seed = (Math.imul(seed, 1664525) + 1013904223) >>> 0
        return seed / 2 ** 32
      }
      const aggregator = new LoadAggregator()
      const detector = new UnresponsiveEndpointDetector()
      const inFlightRequests = Array.from({ length: hosts }, () => new Map<string, number[]>())
      const lastBytes = Array.from({ length: hosts }, () => new Map<string, number>())
      const lost: number[] = []
      const pendingProbes: Array<{ readonly endpoint: string, readonly at: number }> = []
      const isHung = (engine: number, now: number): boolean => engine < hungEngines && now >= 2000
      for (let now = 0; now < 8000; now += 4) {
        for (let arrival = 0; arrival < 3; arrival += 1) {
          const host = Math.floor(random() * hosts)
          const avoided = new Set(aggregator.totals(now).work.filter(({ unresponsive, inFlight, lastByteAgoMs, waitedMs }) =>
            unresponsive > 0 || (inFlight >= 3 && lastByteAgoMs > 500 && waitedMs > 500)).map(({ endpoint }) => endpoint))
          let engine = Math.floor(random() * engines)
          for (let attempt = 0; attempt < 20 && avoided.has(`e${engine}`); attempt += 1) engine = Math.floor(random() * engines)
          const sent = inFlightRequests[host]
          sent?.set(`e${engine}`, [...sent.get(`e${engine}`) ?? [], now])
          if (isHung(engine, now)) lost[Math.floor((now - 2000) / 1000)] = (lost[Math.floor((now - 2000) / 1000)] ?? 0) + 1
          report(host, now)
        }
        if (now % 100 !== 0) continue
        for (let host = now / 100 % 3; host < hosts; host += 3) report(host, now)
        if (!probes) continue
        detector.observe(aggregator.totals(now).work, now)
        for (const endpoint of detector.takeDueProbes(now)) pendingProbes.push({ endpoint, at: now })
        for (const { endpoint } of pendingProbes.filter(({ at }) => at === now - 200)) detector.recordProbeResult(endpoint, !isHung(Number(endpoint.slice(1)), now), now)
        aggregator.setUnresponsive(detector.unresponsive)
      }
      return lost

      /** An engine sends an event every 10 ms and completes an answer in 0.5 s; callers of hung engines disconnect after 2.5 s. */
      function report (host: number, now: number): void {
        const sent = inFlightRequests[host] ?? new Map<string, number[]>()
        for (const [endpoint, times] of sent) {
          const engine = Number(endpoint.slice(1))
          const left = times.filter(at => now - at < (isHung(engine, now) ? 2500 : 500))
          if (left.length === 0) sent.delete(endpoint)
          else sent.set(endpoint, left)
          if (!isHung(engine, now)) lastBytes[host]?.set(endpoint, now)
        }
        aggregator.observe({
          host: `h${host}`,
          sequence: now,
          links: [],
          work: [...sent].map(([endpoint, times]) =>
            work(endpoint, { inFlight: times.length, lastByteAgoMs: now - (lastBytes[host]?.get(endpoint) ?? -60_000), waitedMs: now - (times[0] ?? now) }))
        }, now)
      }
    }

    it('loses requests in the second in which a fifth of 55 engines hangs, and none afterwards', () => {
      const [first = 0, ...later] = lostBySecond(true)
      expect(first).toBeGreaterThan(0)
      expect(later.reduce((sum, count) => sum + (count ?? 0), 0)).toBe(0)
    })

    it('keeps losing requests without probes', () => {
      const later = lostBySecond(false).slice(1)
      expect(later.reduce((sum, count) => sum + (count ?? 0), 0)).toBeGreaterThan(100)
    })
  })
})
