import { describe, expect, it } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RequestTurns, type ArrivedRequest } from './RequestTurns.js'

const REQUEST_MS = 1

/** An event loop that accepts one connection a turn and then reads all sockets, with a clock that only requests move on. */
class TestLoop {
  nowMs = 0
  turns = 0
  /** Connections that have not been accepted. */
  backlog = 0
  readonly begun: string[] = []
  readonly refused: string[] = []
  /** Requests that arrive in the next turn. */
  arriving: string[] = []
  #nextTurn: Array<() => void> = []
  #nextSteps: Array<() => void> = []
  readonly #accepted: string[] = []
  #connections = 0
  #idleMs = 0

  readonly requests = new RequestTurns(new Telemetry('test'), {
    now: () => this.nowMs,
    idleMs: () => this.#idleMs,
    nextTurn: next => { this.#nextTurn.push(next) },
    nextStep: next => { this.#nextSteps.push(next) }
  })

  /** Requests that had begun when the last connection was accepted. */
  acceptedAllAfter = 0

  constructor (private readonly deadlineMs?: number, private readonly requestMs = REQUEST_MS) {}

  get isTurnScheduled (): boolean { return this.#nextTurn.length > 0 }

  arrive (name: string): ArrivedRequest {
    const request: ArrivedRequest = {
      deadlineMs: this.deadlineMs,
      begin: () => {
        this.nowMs += this.requestMs
        this.begun.push(name)
      },
      refuse: () => { this.refused.push(name) }
    }
    this.requests.add(request)
    this.#runSteps()
    return request
  }

  runTurn (): void {
    this.turns += 1
    // The event loop waits for events only if nothing is scheduled.
    if (!this.isTurnScheduled) this.#idleMs += 1
    if (this.backlog > 0) {
      this.backlog -= 1
      this.acceptedAllAfter = this.begun.length
      this.requests.noteConnection()
      this.#accepted.push(`new ${this.#connections++}`)
    }
    for (const name of this.arriving.splice(0)) this.arrive(name)
    // A connection's first request is read in the turn after it was accepted.
    for (const name of this.#accepted.splice(0)) this.arriving.push(name)
    for (const next of this.#nextTurn.splice(0)) next()
    this.#runSteps()
  }

  #runSteps (): void {
    for (let step = this.#nextSteps.shift(); step !== undefined; step = this.#nextSteps.shift()) step()
  }
}

/** Callers that send their next request as soon as the last one has begun, on connections that stay open. */
function repeatForever (loop: TestLoop, callers: number, turns: number): void {
  let answered = 0
  for (let caller = 0; caller < callers; caller += 1) loop.arriving.push('kept')
  for (let turn = 0; turn < turns; turn += 1) {
    loop.runTurn()
    for (; answered < loop.begun.length; answered += 1) loop.arriving.push('kept')
  }
}

describe('RequestTurns', () => {
  // Guards against callers whose connections wait unaccepted while others are served on and on.
  it('accepts and begins all newcomers while callers with open connections send as much as they can', () => {
    const loop = new TestLoop()
    loop.backlog = 300
    repeatForever(loop, 300, 2000)
    expect(loop.backlog).toBe(0)
    expect(new Set(loop.begun.filter(name => name !== 'kept')).size).toBe(300)
    // Each newcomer is accepted before the callers with open connections have been served five times.
    const last = loop.begun.indexOf('new 299')
    expect(last).toBeLessThan(5 * 600)
  })

  // Guards against a turn that lasts until the requests of all callers have been handled.
  it('begins no more in a turn than fits a slice, the oldest first', () => {
    const loop = new TestLoop()
    for (let number = 0; number < 100; number += 1) loop.arrive(String(number))
    let most = loop.begun.length
    while (loop.begun.length < 100) {
      const before = loop.begun.length
      loop.runTurn()
      most = Math.max(most, loop.begun.length - before)
    }
    expect(most).toBeLessThanOrEqual(8)
    expect(loop.begun).toEqual(Array.from({ length: 100 }, (_, number) => String(number)))
  })

  // Guards against slices that only a fast host has, because its requests are counted by time.
  it('accepts newcomers between requests of which each takes longer than a slice', () => {
    const loop = new TestLoop(undefined, 30)
    loop.backlog = 40
    while (loop.begun.length < 40 && loop.turns < 1000) loop.runTurn()
    expect(loop.begun).toHaveLength(40)
    expect(loop.acceptedAllAfter).toBeLessThan(10)
  })

  // Guards against callers who get no answer in time because their connections wait for long turns, which bursts of responses also make.
  it('accepts a thousand connections within half of a deadline of 5 s although turns that begin requests take 250 ms', () => {
    const loop = new TestLoop(5000, 250)
    loop.backlog = 1000
    while (loop.backlog > 0 && loop.turns < 2000) loop.runTurn()
    expect(loop.backlog).toBe(0)
    expect(loop.acceptedAllAfter * 250).toBeLessThanOrEqual(2500)
  })

  // Guards against a flood of connections that keeps requests from beginning.
  it('begins requests although connections never stop coming', () => {
    const loop = new TestLoop()
    loop.backlog = Number.POSITIVE_INFINITY
    for (let number = 0; number < 50; number += 1) loop.arrive('early')
    while (loop.begun.filter(name => name === 'early').length < 50 && loop.turns < 5000) loop.runTurn()
    expect(loop.begun.filter(name => name === 'early')).toHaveLength(50)
  })

  it('schedules nothing for requests that arrive one after the other', () => {
    const loop = new TestLoop()
    for (let number = 0; number < 100; number += 1) {
      loop.arriving.push(String(number))
      loop.runTurn()
      expect(loop.isTurnScheduled).toBe(false)
    }
    expect(loop.begun).toHaveLength(100)
  })

  // Guards against callers who learn at their deadline that this host had no time for them.
  it('refuses at once what could not begin in time, and nothing that can', () => {
    const loop = new TestLoop(200)
    for (let number = 0; number < 500; number += 1) loop.arrive(String(number))
    const refusedOnArrival = loop.refused.length
    expect(refusedOnArrival).toBeGreaterThan(300)
    for (let turn = 0; turn < 500; turn += 1) loop.runTurn()
    expect(loop.refused).toHaveLength(refusedOnArrival)
    expect(loop.begun).toHaveLength(500 - refusedOnArrival)
  })

  it('does not begin a request whose caller has left', () => {
    const loop = new TestLoop()
    const requests = Array.from({ length: 100 }, (_, number) => loop.arrive(String(number)))
    const last = requests.at(-1)
    expect(last !== undefined && loop.requests.remove(last)).toBe(true)
    for (let turn = 0; turn < 100; turn += 1) loop.runTurn()
    expect(loop.begun).not.toContain('99')
    expect(loop.begun).toHaveLength(99)
  })
})
