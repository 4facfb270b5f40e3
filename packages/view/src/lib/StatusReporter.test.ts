import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { StatusRequest, StatusResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import { StatusReporter } from './StatusReporter.js'

const report: StatusRequest = {
  host: 'h', role: 'entry', address: 'h', dataCentre: 'n', viewRevision: 1, accepting: true, membershipIndex: -1, wantsPeers: false
}

const response: StatusResponse = {
  replicaId: 'a',
  membershipIndex: 1,
  newestView: 1,
  appliedView: 1,
  leader: 'a',
  liveEntries: 1,
  entryPeers: [],
  watched: { incarnation: 'a', endpointList: 0, listAgeMs: 0, storedParts: 0 }
}

/** A host whose control hosts respond as `isAnswered` decides. Runs on fake timers. */
class TestHost {
  readonly requestTimes = new Map<string, number[]>()
  readonly silent: string[] = []
  readonly statements: string[] = []
  isUrgent = false
  addresses = ['a', 'b', 'c']
  isAnswered: (address: string, requestIndex: number) => boolean = () => true
  readonly reporter = new StatusReporter({
    ask: (address, _method, _request, onAnswer) => {
      const times = this.requestTimes.get(address) ?? []
      this.requestTimes.set(address, [...times, performance.now()])
      const askedAt = performance.now()
      if (this.isAnswered(address, times.length)) setTimeout(() => { onAnswer(response as never, askedAt) }, 2)
    }
  }, {
    addresses: () => this.addresses,
    report: () => report,
    isUrgent: () => this.isUrgent,
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

describe('StatusReporter', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  function run (host: TestHost, milliseconds: number): void {
    host.reporter.start()
    vi.advanceTimersByTime(milliseconds)
    host.reporter.stop()
  }

  it('reports to the watched control host twice as often as to the others, even if one of those does not respond', () => {
    const host = new TestHost()
    host.isAnswered = address => address !== 'b'
    run(host, 10_000)
    expect(host.requestCount('a')).toBeGreaterThanOrEqual(22)
    expect(host.requestCount('a')).toBeLessThanOrEqual(29)
    expect(host.longestPauseMs('a')).toBeLessThan(500)
    expect(host.requestCount('c')).toBeLessThanOrEqual(15)
    expect(host.longestPauseMs('c')).toBeLessThan(1000)
  })

  it('repeats a lost request before a lease of one second could expire', () => {
    const host = new TestHost()
    host.isAnswered = (_address, requestIndex) => requestIndex % 3 !== 1
    run(host, 10_000)
    const answered = (host.requestTimes.get('a') ?? []).filter((_time, requestIndex) => requestIndex % 3 !== 1)
    const pauses = answered.slice(1).map((time, index) => time - (answered[index] ?? 0))
    expect(Math.max(...pauses)).toBeLessThan(1000)
    expect(host.silent).toEqual([])
  })

  it('reports silence of a control host that leaves three requests unanswered, within 2.5 seconds', () => {
    const host = new TestHost()
    run(host, 3000)
    expect(host.silent).toEqual([])
    host.isAnswered = address => address !== 'b'
    run(host, 2500)
    expect(host.silent).toContain('b')
    expect(host.silent).not.toContain('a')
  })

  it('reports at shorter intervals while the host cannot serve yet', () => {
    const host = new TestHost()
    host.isUrgent = true
    run(host, 1000)
    expect(host.requestCount('a')).toBeGreaterThanOrEqual(9)
  })

  it('varies the interval randomly, so that hosts that start together do not report together', () => {
    const hosts = Array.from({ length: 200 }, () => new TestHost())
    for (const { reporter } of hosts) reporter.start()
    vi.advanceTimersByTime(20_000)
    for (const { reporter } of hosts) reporter.stop()
    const last = hosts.map(({ requestTimes }) => requestTimes.get('a')?.at(-1) ?? 0)
    const busiest = Math.max(...Array.from({ length: 50 }, (_, slot) =>
      last.filter(time => Math.floor(time % 500 / 10) === slot).length))
    // With 200 hosts spread evenly over 50 slots, a slot has 4 hosts on average.
    expect(busiest).toBeLessThan(20)
  })

  it('reports to newly learned control hosts and no longer to removed ones', () => {
    const host = new TestHost()
    run(host, 1000)
    const countBefore = host.requestCount('c')
    host.addresses = ['a', 'd']
    run(host, 1000)
    expect(host.requestCount('d')).toBeGreaterThan(0)
    expect(host.requestCount('c')).toBe(countBefore)
  })
})
