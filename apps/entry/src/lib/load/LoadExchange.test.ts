import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import { NO_ENDPOINT_LOAD, type LoadReport } from '@eelgrassmux/routing/load/loadReport'
import { PeerLoad, type HostLoad } from '@eelgrassmux/routing/load/PeerLoad'
import { askLoad } from '@eelgrassmux/rpc/methods/loadMethods'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { LoadExchange } from './LoadExchange.js'

/** One host and the one that adds up, which has 5 requests of others at an endpoint; all on a virtual clock. */
class World {
  asked = 0
  reports: LoadReport[] = []
  answers = true
  own: HostLoad = { work: [], links: [] }
  readonly others = new PeerLoad()
  board: string | undefined = 'board'
  readonly exchange = new LoadExchange('h', {
    datagrams: {
      ask: (_address, method, request, onAnswer) => {
        expect(method).toBe(askLoad)
        this.asked += 1
        const askedAt = performance.now()
        const { sequence } = request as LoadReport
        const totals = frameLoadTotals(sequence, encodeLoadTotals({ work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'e', inFlight: 5 }], links: [] }))
        if (this.answers) setTimeout(() => { onAnswer(totals as never, askedAt) }, 2)
      },
      tell: (_address, _method, request) => { this.reports.push(request as LoadReport) }
    },
    board: () => this.board,
    liveHosts: () => 8,
    ownWork: () => this.own,
    others: this.others,
    onAnswer: () => {}
  }, new Telemetry('test'))

  /** Has a request placed; afterwards says when that was, or undefined while it waits. */
  place (): { at: number | undefined } {
    const placed: { at: number | undefined } = { at: undefined }
    this.exchange.beforePlacing(() => { placed.at = performance.now() })
    return placed
  }
}

describe('LoadExchange', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  it('places a request on what others have under way at that moment', () => {
    const world = new World()
    const placed = world.place()
    expect(placed.at).toBeUndefined()
    vi.advanceTimersByTime(2)
    expect(placed.at).toBe(2)
    expect(world.others.forEndpoint('e').inFlight).toBe(5)
    vi.advanceTimersByTime(10)
    expect(world.place().at).toBe(12)
    expect(world.asked).toBe(1)
  })

  it('never holds a request for longer than an answer is worth', () => {
    const world = new World()
    world.answers = false
    const placed = world.place()
    vi.advanceTimersByTime(9)
    expect(placed.at).toBeUndefined()
    vi.advanceTimersByTime(1)
    expect(placed.at).toBe(10)
  })

  it('does not wait when there is nobody to ask, and lets what waits go when it stops', () => {
    const world = new World()
    const waiting = world.place()
    world.exchange.stop()
    expect(waiting.at).toBe(0)
    world.board = undefined
    vi.advanceTimersByTime(100)
    expect(world.place().at).toBe(100)
  })

  it('that rarely asks tells of its sends at once, and again while there is work; a host at rest is silent', () => {
    const world = new World()
    vi.advanceTimersByTime(1000)
    expect(world.reports).toHaveLength(0)
    world.own = { work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'e', inFlight: 1 }], links: [] }
    world.exchange.noteSend()
    expect(world.reports.at(-1)?.work[0]?.inFlight).toBe(1)
    vi.advanceTimersByTime(1000)
    expect(world.reports).toHaveLength(3)
    world.own = { work: [], links: [] }
    world.exchange.noteChange()
    vi.advanceTimersByTime(2000)
    expect(world.reports.at(-1)?.work).toEqual([])
    expect(world.reports).toHaveLength(4)
  })

  it('that asks often tells of its sends with the next question, or a moment later if none comes', () => {
    const world = new World()
    for (let question = 0; question < 20; question += 1) {
      world.place()
      vi.advanceTimersByTime(100)
    }
    world.own = { work: [{ ...NO_ENDPOINT_LOAD, endpoint: 'e', inFlight: 1 }], links: [] }
    world.exchange.noteSend()
    expect(world.reports).toHaveLength(0)
    vi.advanceTimersByTime(249)
    expect(world.reports).toHaveLength(0)
    world.place()
    vi.advanceTimersByTime(100)
    expect(world.reports).toHaveLength(0)
    world.exchange.noteSend()
    vi.advanceTimersByTime(250)
    expect(world.reports).toHaveLength(1)
  })

  it('asks by the clock while a host starts, so that what waits there is let go', () => {
    const world = new World()
    world.exchange.start()
    vi.advanceTimersByTime(500)
    expect(world.others.isRecent(performance.now())).toBe(true)
    vi.advanceTimersByTime(20_000)
    expect(world.asked).toBeLessThan(40)
    world.exchange.stop()
  })

  it('takes no answer that it cannot read, and goes on', () => {
    const world = new World()
    const telemetry = new Telemetry('test')
    let answer: (totals: Uint8Array) => void = () => {}
    const exchange = new LoadExchange('h', {
      datagrams: { ask: (_address, _method, _request, onAnswer) => { answer = totals => { onAnswer(totals as never, 0) } }, tell: () => {} },
      board: () => 'board',
      liveHosts: () => 1,
      ownWork: () => world.own,
      others: world.others,
      onAnswer: () => { throw new Error('taken') }
    }, telemetry)
    exchange.beforePlacing(() => {})
    answer(Buffer.from([1, 2, 3]))
    expect(world.others.isRecent(performance.now())).toBe(false)
  })
})
