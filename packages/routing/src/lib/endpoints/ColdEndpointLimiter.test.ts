import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { PromptResidencyTracker } from '../prompts/PromptResidencyTracker.js'
import { chooseEndpoint } from './chooseEndpoint.js'
import { COLD_WINDOW_MS, ColdEndpointLimiter } from './ColdEndpointLimiter.js'
import type { EndpointQuery, HoldBackReason } from './endpointQuery.js'
import { EndpointState, ASSUMED_COLD_MS } from './EndpointState.js'

const listed = (id: string, overrides: Partial<ListedEndpoint> = {}): ListedEndpoint => ({
  id, service: 'pool', address: '10.0.0.1:1', dataCentre: 'north', slots: 48, isLeaving: false, isBusy: false, models: [], ...overrides
})

/** Rate that an endpoint accepts while it is cold, and the rate that overloads it: half as much again plus five. */
const RATE = 18
const MOST_IN_A_SECOND = RATE * 1.5 + 5

interface Host {
  readonly endpoint: EndpointState
  readonly allowance: ColdEndpointLimiter
}

function makeHosts (count: number, knownHosts: (number: number) => number, id = 'e1'): Host[] {
  return Array.from({ length: count }, (_, number) => ({
    endpoint: new EndpointState(listed(id, { isCold: true })),
    allowance: new ColdEndpointLimiter(`10.0.${number >> 8}.${number & 255}:80`, () => knownHosts(number))
  }))
}

/** Simulates hosts that send whenever they may and check every 20 ms. */
function simulateSends (hosts: readonly Host[], seconds: number): number[] {
  const sends: number[] = []
  for (let now = 0; now < seconds * 1000; now += 20) {
    for (const { endpoint, allowance } of hosts) {
      if (!allowance.admits(endpoint, RATE, now)) continue
      endpoint.beginRequest(0, 0, now)
      sends.push(now)
    }
  }
  return sends
}

function mostInASecond (sends: readonly number[]): number {
  return Math.max(0, ...sends.map(from => sends.filter(at => at >= from && at <= from + 1000).length))
}

describe('a cold endpoint', () => {
  describe('that many hosts see idle at once', () => {
    it.each([1, 2, 8, 17, 18, 19, 40, 81, 195, 340])('gets no more than it accepts in any second from %i hosts', count => {
      for (let endpoint = 0; endpoint < 60; endpoint += 1) {
        expect(mostInASecond(simulateSends(makeHosts(count, () => count, `i-${endpoint}`), 3))).toBeLessThanOrEqual(MOST_IN_A_SECOND)
      }
    })

    it.each([8, 81, 340])('gets a fair part of what it accepts from %i hosts', count => {
      const seconds = 4
      const rates = Array.from({ length: 40 }, (_, endpoint) => simulateSends(makeHosts(count, () => count, `i-${endpoint}`), seconds).length / seconds)
      const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length
      expect(mean).toBeGreaterThan(RATE * 0.4)
    })

    it('gets no more when half of 81 hosts have just started and know only half of the others', () => {
      for (let endpoint = 0; endpoint < 60; endpoint += 1) {
        const hosts = makeHosts(81, number => number % 2 === 0 ? 81 : 41, `i-${endpoint}`)
        expect(mostInASecond(simulateSends(hosts, 3))).toBeLessThanOrEqual(MOST_IN_A_SECOND)
      }
    })

    it('gets no more when the set of hosts changes from one moment to the next', () => {
      for (let endpoint = 0; endpoint < 60; endpoint += 1) {
        const id = `i-${endpoint}`
        const before = simulateSends(makeHosts(81, () => 81, id).slice(0, 41), 1)
        const after = simulateSends(makeHosts(81, () => 81, id).slice(40), 1)
        expect(mostInASecond([...before, ...after].sort((left, right) => left - right))).toBeLessThanOrEqual(MOST_IN_A_SECOND)
      }
    })
  })

  it('gets no more from a host that has used its share until the window is over', () => {
    const [host] = makeHosts(1, () => 10)
    if (host === undefined) throw new Error('no host')
    host.endpoint.beginRequest(0, 0, 0)
    expect(host.allowance.admits(host.endpoint, RATE, 10)).toBe(false)
    expect(host.allowance.admits(host.endpoint, RATE, COLD_WINDOW_MS + 1)).toBe(true)
  })
})

/** Holds a host back from all cold endpoints. */
const holdBackFromCold = (now: number) => (endpoint: EndpointState): HoldBackReason | undefined => endpoint.isCold(now) ? 'cold' : undefined

describe('chooseEndpoint with cold endpoints', () => {
  const queryWith = (overrides: Partial<EndpointQuery> = {}): EndpointQuery => ({ excluded: new Set(), dataCentre: 'north', others: undefined, ...overrides })
  const choose = (endpoints: readonly EndpointState[], query: EndpointQuery, now = 0): string => {
    const choice = chooseEndpoint(endpoints, query, new PromptResidencyTracker(), now, 0)
    return typeof choice === 'string' ? choice : choice.endpoint.id
  }

  it('avoids them on a host that may not send there, however idle they are', () => {
    const warm = new EndpointState(listed('warm'))
    for (let sent = 0; sent < 20; sent += 1) warm.beginRequest(0, 0, 0)
    const cold = new EndpointState(listed('cold', { isCold: true }))
    expect(choose([warm, cold], queryWith({ holdBackReason: holdBackFromCold(0) }))).toBe('warm')
    expect(choose([warm, cold], queryWith())).toBe('cold')
  })

  it('reports that all are cold if none may be used', () => {
    expect(choose([new EndpointState(listed('cold', { isCold: true }))], queryWith({ holdBackReason: holdBackFromCold(0) }))).toBe('all-cold')
  })

  it('treats an endpoint that was unreachable as cold until the list has had time to report it', () => {
    const returned = new EndpointState(listed('returned'))
    returned.health.observe('unreachable', 0)
    expect(choose([returned], queryWith({ holdBackReason: holdBackFromCold(100) }), 100)).toBe('all-cold')
    expect(returned.health.isPaused(700)).toBe(false)
    expect(choose([returned], queryWith({ holdBackReason: holdBackFromCold(700) }), 700)).toBe('all-cold')
    expect(choose([returned], queryWith({ holdBackReason: holdBackFromCold(100 + ASSUMED_COLD_MS + 1) }), 100 + ASSUMED_COLD_MS + 1)).toBe('returned')
  })
})

describe('chooseEndpoint during an evacuation', () => {
  const north = (): EndpointState => new EndpointState(listed('n'))
  const south = (): EndpointState => new EndpointState(listed('s', { dataCentre: 'south' }))
  const queryWith = (evacuated: readonly string[]): EndpointQuery => ({ excluded: new Set(), dataCentre: 'north', others: undefined, evacuated: new Set(evacuated) })

  it('uses only the other data centres, however busy they are', () => {
    const busy = south()
    for (let sent = 0; sent < 50; sent += 1) busy.beginRequest(0, 0, 0)
    expect(chooseEndpoint([north(), busy], queryWith(['north']), new PromptResidencyTracker(), 0, 0)).toMatchObject({ endpoint: busy })
  })

  it('finds no endpoint if all are evacuated, and gives that as the reason', () => {
    expect(chooseEndpoint([north(), south()], queryWith(['north', 'south']), new PromptResidencyTracker(), 0, 0)).toBe('all-evacuated')
  })
})
