import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { StatusRequest, StatusResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import { StatusReports } from './StatusReports.js'

const report: StatusRequest = {
  host: 'h', role: 'entry', address: 'h', dataCentre: 'n', viewRevision: 1, accepting: true, membershipIndex: -1, wantsPeers: false
}

const statement: StatusResponse = {
  replicaId: 'a',
  membershipIndex: 1,
  newestView: 1,
  appliedView: 1,
  leader: 'a',
  liveEntries: 1,
  entryPeers: [],
  watched: { incarnation: 'a', endpointList: 0, listAgeMs: 0, storedParts: 0 }
}

/** Reports to control hosts that answer, or don't, as a test says; all on a virtual clock. */
class World {
  readonly asked = new Map<string, number[]>()
  readonly silent: string[] = []
  readonly statements: string[] = []
  isHurried = false
  addresses = ['a', 'b', 'c']
  answers: (address: string, question: number) => boolean = () => true
  readonly reports = new StatusReports({
    ask: (address, _method, _request, onAnswer) => {
      const times = this.asked.get(address) ?? []
      this.asked.set(address, [...times, performance.now()])
      const askedAt = performance.now()
      if (this.answers(address, times.length)) setTimeout(() => { onAnswer(statement as never, askedAt) }, 2)
    }
  }, {
    addresses: () => this.addresses,
    report: () => report,
    isHurried: () => this.isHurried,
    isWatched: address => address === 'a',
    onStatement: address => { this.statements.push(address) },
    onSilence: address => { this.silent.push(address) },
    onLook: () => {}
  })

  questionsTo (address: string): number { return this.asked.get(address)?.length ?? 0 }

  longestPause (address: string): number {
    const times = this.asked.get(address) ?? []
    return Math.max(...times.slice(1).map((time, index) => time - (times[index] ?? 0)))
  }
}

describe('StatusReports', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  function run (world: World, milliseconds: number): void {
    world.reports.start()
    vi.advanceTimersByTime(milliseconds)
    world.reports.stop()
  }

  it('ask the watched control host twice as often as the others, whatever those do', () => {
    const world = new World()
    world.answers = address => address !== 'b'
    run(world, 10_000)
    expect(world.questionsTo('a')).toBeGreaterThanOrEqual(22)
    expect(world.questionsTo('a')).toBeLessThanOrEqual(29)
    expect(world.longestPause('a')).toBeLessThan(500)
    expect(world.questionsTo('c')).toBeLessThanOrEqual(15)
    expect(world.longestPause('c')).toBeLessThan(1000)
  })

  it('make a lost datagram good before a lease of a second could end', () => {
    const world = new World()
    world.answers = (_address, question) => question % 3 !== 1
    run(world, 10_000)
    const answered = (world.asked.get('a') ?? []).filter((_time, question) => question % 3 !== 1)
    const pauses = answered.slice(1).map((time, index) => time - (answered[index] ?? 0))
    expect(Math.max(...pauses)).toBeLessThan(1000)
    expect(world.silent).toEqual([])
  })

  it('tell of a control host that leaves three questions unanswered, within two', () => {
    const world = new World()
    run(world, 3000)
    expect(world.silent).toEqual([])
    world.answers = address => address !== 'b'
    run(world, 2500)
    expect(world.silent).toContain('b')
    expect(world.silent).not.toContain('a')
  })

  it('hurry while the host waits for what it needs to serve', () => {
    const world = new World()
    world.isHurried = true
    run(world, 1000)
    expect(world.questionsTo('a')).toBeGreaterThanOrEqual(9)
  })

  it('depart from each other by chance, so that hosts that start together do not ask together', () => {
    const worlds = Array.from({ length: 200 }, () => new World())
    for (const { reports } of worlds) reports.start()
    vi.advanceTimersByTime(20_000)
    for (const { reports } of worlds) reports.stop()
    const last = worlds.map(({ asked }) => asked.get('a')?.at(-1) ?? 0)
    const busiest = Math.max(...Array.from({ length: 50 }, (_, slot) =>
      last.filter(time => Math.floor(time % 500 / 10) === slot).length))
    // A fiftieth of the interval has 4 of 200 in the mean.
    expect(busiest).toBeLessThan(20)
  })

  it('go to control hosts that were learnt since, and no more to those that are gone', () => {
    const world = new World()
    run(world, 1000)
    const before = world.questionsTo('c')
    world.addresses = ['a', 'd']
    run(world, 1000)
    expect(world.questionsTo('d')).toBeGreaterThan(0)
    expect(world.questionsTo('c')).toBe(before)
  })
})
