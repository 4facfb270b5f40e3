import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { StatusRequest, StatusResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import { StatusReporter } from './StatusReporter.js'

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
class TestHost {
  readonly requestTimes = new Map<string, number[]>()
  readonly silent: string[] = []
  readonly statements: string[] = []
  isHurried = false
  addresses = ['a', 'b', 'c']
  isAnswered: (address: string, question: number) => boolean = () => true
  readonly reports = new StatusReporter({
    ask: (address, _method, _request, onAnswer) => {
      const times = this.requestTimes.get(address) ?? []
      this.requestTimes.set(address, [...times, performance.now()])
      const askedAt = performance.now()
      if (this.isAnswered(address, times.length)) setTimeout(() => { onAnswer(statement as never, askedAt) }, 2)
    }
  }, {
    addresses: () => this.addresses,
    report: () => report,
    isUrgent: () => this.isHurried,
    isWatched: address => address === 'a',
    onStatement: address => { this.statements.push(address) },
    onSilence: address => { this.silent.push(address) },
    onTimer: () => {}
  })

  requestCount (address: string): number { return this.requestTimes.get(address)?.length ?? 0 }

  longestPauseMs (address: string): number {
    const times = this.requestTimes.get(address) ?? []
    return Math.max(...times.slice(1).map((time, index) => time - (times[index] ?? 0)))
  }
}

describe('StatusReports', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  function run (host: TestHost, milliseconds: number): void {
    host.reports.start()
    vi.advanceTimersByTime(milliseconds)
    host.reports.stop()
  }

  it('ask the watched control host twice as often as the others, whatever those do', () => {
    const host = new TestHost()
    host.isAnswered = address => address !== 'b'
    run(host, 10_000)
    expect(host.requestCount('a')).toBeGreaterThanOrEqual(22)
    expect(host.requestCount('a')).toBeLessThanOrEqual(29)
    expect(host.longestPauseMs('a')).toBeLessThan(500)
    expect(host.requestCount('c')).toBeLessThanOrEqual(15)
    expect(host.longestPauseMs('c')).toBeLessThan(1000)
  })

  it('make a lost datagram good before a lease of a second could end', () => {
    const host = new TestHost()
    host.isAnswered = (_address, question) => question % 3 !== 1
    run(host, 10_000)
    const answered = (host.requestTimes.get('a') ?? []).filter((_time, question) => question % 3 !== 1)
    const pauses = answered.slice(1).map((time, index) => time - (answered[index] ?? 0))
    expect(Math.max(...pauses)).toBeLessThan(1000)
    expect(host.silent).toEqual([])
  })

  it('tell of a control host that leaves three questions unanswered, within two', () => {
    const host = new TestHost()
    run(host, 3000)
    expect(host.silent).toEqual([])
    host.isAnswered = address => address !== 'b'
    run(host, 2500)
    expect(host.silent).toContain('b')
    expect(host.silent).not.toContain('a')
  })

  it('hurry while the host waits for what it needs to serve', () => {
    const host = new TestHost()
    host.isHurried = true
    run(host, 1000)
    expect(host.requestCount('a')).toBeGreaterThanOrEqual(9)
  })

  it('depart from each other by chance, so that hosts that start together do not ask together', () => {
    const hosts = Array.from({ length: 200 }, () => new TestHost())
    for (const { reports } of hosts) reports.start()
    vi.advanceTimersByTime(20_000)
    for (const { reports } of hosts) reports.stop()
    const last = hosts.map(({ requestTimes }) => requestTimes.get('a')?.at(-1) ?? 0)
    const busiest = Math.max(...Array.from({ length: 50 }, (_, slot) =>
      last.filter(time => Math.floor(time % 500 / 10) === slot).length))
    // A fiftieth of the interval has 4 of 200 in the mean.
    expect(busiest).toBeLessThan(20)
  })

  it('go to control hosts that were learnt since, and no more to those that are gone', () => {
    const host = new TestHost()
    run(host, 1000)
    const before = host.requestCount('c')
    host.addresses = ['a', 'd']
    run(host, 1000)
    expect(host.requestCount('d')).toBeGreaterThan(0)
    expect(host.requestCount('c')).toBe(before)
  })
})
