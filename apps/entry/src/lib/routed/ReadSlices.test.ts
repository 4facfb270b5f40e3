import { describe, expect, it } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ReadSlices, SLICE_BYTES } from './ReadSlices.js'

const PIECE_BYTES = 64 * 1024

/** An endless response of an endpoint, read piece by piece. */
class EndlessResponse {
  bytes = 0
  isCut = false
  unreadBytes = 2 * PIECE_BYTES

  constructor (private readonly slices: ReadSlices, private readonly address: string, private readonly onPiece: () => void = () => {}) {}

  /** Reads until the response has to pause. */
  readonly resume = (): void => {
    do {
      this.bytes += PIECE_BYTES
      this.onPiece()
    } while (this.slices.count(this.address, PIECE_BYTES))
    this.slices.resumeInTurn(this.address, { resume: this.resume, cut: () => { this.isCut = true }, unreadBytes: () => this.unreadBytes })
  }
}

/** A clock and turns that a test moves on. */
class TestTurns {
  nowMs = 0
  #next: Array<() => void> = []
  readonly timers = { now: () => this.nowMs, nextTurn: (next: () => void) => { this.#next.push(next) } }

  get isDue (): boolean { return this.#next.length > 0 }

  run (): void {
    for (const next of this.#next.splice(0)) next()
  }
}

describe('ReadSlices', () => {
  const createSlices = (turns: TestTurns, maxUnreadBytes = Number.POSITIVE_INFINITY): ReadSlices => new ReadSlices(new Telemetry('test'), maxUnreadBytes, turns.timers)

  // Guards against an endpoint whose responses take the event loop from everybody else.
  it('reads no more than a slice from an endpoint in a turn, however many of its responses there are', () => {
    const turns = new TestTurns()
    const slices = createSlices(turns)
    const responses = Array.from({ length: 50 }, () => new EndlessResponse(slices, 'bad'))
    const total = (): number => responses.reduce((sum, { bytes }) => sum + bytes, 0)
    for (const response of responses) slices.resumeInTurn('bad', { resume: response.resume, cut: () => {}, unreadBytes: () => 0 })
    for (let turn = 0; turn < 100; turn += 1) {
      const before = total()
      turns.run()
      expect(total() - before).toBeLessThanOrEqual(SLICE_BYTES + 2 * PIECE_BYTES)
    }
    // All of them go on in turn.
    expect(Math.min(...responses.map(({ bytes }) => bytes))).toBeGreaterThan(0)
  })

  it('ends the turn after some milliseconds if the bytes are costly', () => {
    const turns = new TestTurns()
    const slices = createSlices(turns)
    const response = new EndlessResponse(slices, 'bad', () => { turns.nowMs += 3 })
    response.resume()
    expect(response.bytes).toBeLessThanOrEqual(3 * PIECE_BYTES)
  })

  it('does not pause an endpoint because of another one', () => {
    const turns = new TestTurns()
    const slices = createSlices(turns)
    new EndlessResponse(slices, 'bad').resume()
    expect(slices.count('sound', 1000)).toBe(true)
    let resumed = 0
    slices.resumeInTurn('sound', { resume: () => { resumed += 1 }, cut: () => {}, unreadBytes: () => 0 })
    expect(resumed).toBe(1)
  })

  it('schedules nothing for small responses', () => {
    const turns = new TestTurns()
    const slices = createSlices(turns)
    for (let response = 0; response < 100; response += 1) {
      turns.nowMs += 1
      expect(slices.count(`sound-${response % 10}`, 2000)).toBe(true)
    }
    expect(turns.isDue).toBe(false)
  })

  // Guards against the memory of what has arrived for responses that are not read.
  it('cuts responses of the endpoint with most paused ones beyond the bound', () => {
    const turns = new TestTurns()
    const slices = createSlices(turns, 20 * PIECE_BYTES)
    const [sound, ...bad] = [new EndlessResponse(slices, 'sound'), ...Array.from({ length: 30 }, () => new EndlessResponse(slices, 'bad'))]
    for (const response of [sound, ...bad]) response?.resume()
    turns.run()
    expect(sound?.isCut).toBe(false)
    expect(bad.filter(({ isCut }) => isCut)).toHaveLength(21)
  })

  // Guards against whole responses that are cut because many arrive at once after the event loop was blocked.
  it('cuts no small responses, however many are paused', () => {
    const turns = new TestTurns()
    const slices = createSlices(turns, 20 * PIECE_BYTES)
    const responses = Array.from({ length: 500 }, () => new EndlessResponse(slices, 'sound'))
    for (const response of responses) {
      response.unreadBytes = 1000
      response.resume()
    }
    turns.run()
    expect(responses.filter(({ isCut }) => isCut)).toHaveLength(0)
  })
})
