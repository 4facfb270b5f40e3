import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import { NO_ENDPOINT_LOAD, type LoadReport } from '@eelgrassmux/routing/load/loadReport'
import { PeerLoad, type HostLoad } from '@eelgrassmux/routing/load/PeerLoad'
import { exchangeLoadReport } from '@eelgrassmux/rpc/methods/loadMethods'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { LoadExchange } from './LoadExchange.js'

/** One host and a control host whose totals contain 5 requests of other hosts at an endpoint, on a virtual clock. */
class ExchangeHarness {
  asked = 0
  reports: LoadReport[] = []
  answers = true
  own: HostLoad = { work: [], links: [] }
  readonly others = new PeerLoad()
  aggregatorAddress: string | undefined = 'aggregator'
  readonly exchange = new LoadExchange('h', {
    datagrams: {
      ask: (_address, method, request, onAnswer) => {
        expect(method).toBe(exchangeLoadReport)
        this.asked += 1
        const askedAt = performance.now()
        const { sequence } = request as LoadReport
        const totals = frameLoadTotals(sequence, encodeLoadTotals({ work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'e', inFlight: 5 }], links: [] }))
        if (this.answers) setTimeout(() => { onAnswer(totals as never, askedAt) }, 2)
      },
      tell: (_address, _method, request) => { this.reports.push(request as LoadReport) }
    },
    aggregatorAddress: () => this.aggregatorAddress,
    liveHosts: () => 8,
    ownWork: () => this.own,
    others: this.others,
    onAnswer: () => {}
  }, new Telemetry('test'))

  /** Places a request; `at` is the time of the placement, undefined while the request waits. */
  place (): { at: number | undefined } {
    const placed: { at: number | undefined } = { at: undefined }
    this.exchange.beforePlacing(() => { placed.at = performance.now() })
    return placed
  }
}

describe('LoadExchange', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  it('places a request with the current work of the other hosts', () => {
    const harness = new ExchangeHarness()
    const placed = harness.place()
    expect(placed.at).toBeUndefined()
    vi.advanceTimersByTime(2)
    expect(placed.at).toBe(2)
    expect(harness.others.forEndpoint('e').inFlight).toBe(5)
    vi.advanceTimersByTime(10)
    expect(harness.place().at).toBe(12)
    expect(harness.asked).toBe(1)
  })

  it('never delays a request for longer than the maximum wait for an answer', () => {
    const harness = new ExchangeHarness()
    harness.answers = false
    const placed = harness.place()
    vi.advanceTimersByTime(9)
    expect(placed.at).toBeUndefined()
    vi.advanceTimersByTime(1)
    expect(placed.at).toBe(10)
  })

  it('does not wait when no control host is known, and releases waiting requests when it stops', () => {
    const harness = new ExchangeHarness()
    const waiting = harness.place()
    harness.exchange.stop()
    expect(waiting.at).toBe(0)
    harness.aggregatorAddress = undefined
    vi.advanceTimersByTime(100)
    expect(harness.place().at).toBe(100)
  })

  it('reports sends of a host with rare requests immediately, repeats the report while there is work, and is silent at rest', () => {
    const harness = new ExchangeHarness()
    vi.advanceTimersByTime(1000)
    expect(harness.reports).toHaveLength(0)
    harness.own = { work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'e', inFlight: 1 }], links: [] }
    harness.exchange.noteSend()
    expect(harness.reports.at(-1)?.work[0]?.inFlight).toBe(1)
    vi.advanceTimersByTime(1000)
    expect(harness.reports).toHaveLength(3)
    harness.own = { work: [], links: [] }
    harness.exchange.noteChange()
    vi.advanceTimersByTime(2000)
    expect(harness.reports.at(-1)?.work).toEqual([])
    expect(harness.reports).toHaveLength(4)
  })

  it('reports sends of a host with frequent requests with the next question, or after a delay if none follows', () => {
    const harness = new ExchangeHarness()
    for (let question = 0; question < 20; question += 1) {
      harness.place()
      vi.advanceTimersByTime(100)
    }
    harness.own = { work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'e', inFlight: 1 }], links: [] }
    harness.exchange.noteSend()
    expect(harness.reports).toHaveLength(0)
    vi.advanceTimersByTime(249)
    expect(harness.reports).toHaveLength(0)
    harness.place()
    vi.advanceTimersByTime(100)
    expect(harness.reports).toHaveLength(0)
    harness.exchange.noteSend()
    vi.advanceTimersByTime(250)
    expect(harness.reports).toHaveLength(1)
  })

  it('asks at a fixed interval while a host starts, so that requests waiting there are released', () => {
    const harness = new ExchangeHarness()
    harness.exchange.start()
    vi.advanceTimersByTime(500)
    expect(harness.others.isRecent(performance.now())).toBe(true)
    vi.advanceTimersByTime(20_000)
    expect(harness.asked).toBeLessThan(40)
    harness.exchange.stop()
  })

  it('ignores a malformed answer', () => {
    const harness = new ExchangeHarness()
    const telemetry = new Telemetry('test')
    let answer: (totals: Uint8Array) => void = () => {}
    const exchange = new LoadExchange('h', {
      datagrams: { ask: (_address, _method, _request, onAnswer) => { answer = totals => { onAnswer(totals as never, 0) } }, tell: () => {} },
      aggregatorAddress: () => 'aggregator',
      liveHosts: () => 1,
      ownWork: () => harness.own,
      others: harness.others,
      onAnswer: () => { throw new Error('a malformed answer was accepted') }
    }, telemetry)
    exchange.beforePlacing(() => {})
    answer(Buffer.from([1, 2, 3]))
    expect(harness.others.isRecent(performance.now())).toBe(false)
  })
})
