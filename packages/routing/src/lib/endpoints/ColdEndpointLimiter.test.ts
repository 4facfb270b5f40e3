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

/** What an endpoint takes while it is cold, and where it ends: over half as much again, and some. */
const RATE = 18
const MOST_IN_A_SECOND = RATE * 1.5 + 5

interface Host {
  readonly endpoint: EndpointState
  readonly allowance: ColdEndpointLimiter
}

function hostsAt (count: number, knownHosts: (number: number) => number, id = 'e1'): Host[] {
  return Array.from({ length: count }, (_, number) => ({
    endpoint: new EndpointState(listed(id, { isCold: true })),
    allowance: new ColdEndpointLimiter(`10.0.${number >> 8}.${number & 255}:80`, () => knownHosts(number))
  }))
}

/** Every host sends whenever it may, looking again each 20 ms. */
function sendsOf (hosts: readonly Host[], seconds: number): number[] {
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
  describe('that many hosts find idle at once', () => {
    it.each([1, 2, 8, 17, 18, 19, 40, 81, 195, 340])('gets no more than it takes in any second from %i hosts', count => {
      for (let endpoint = 0; endpoint < 60; endpoint += 1) {
        expect(mostInASecond(sendsOf(hostsAt(count, () => count, `i-${endpoint}`), 3))).toBeLessThanOrEqual(MOST_IN_A_SECOND)
      }
    })

    it.each([8, 81, 340])('gets a fair part of what it takes from %i hosts', count => {
      const seconds = 4
      const rates = Array.from({ length: 40 }, (_, endpoint) => sendsOf(hostsAt(count, () => count, `i-${endpoint}`), seconds).length / seconds)
      const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length
      expect(mean).toBeGreaterThan(RATE * 0.4)
    })

    it('gets no more when half of 81 hosts have just started and know half of the others', () => {
      for (let endpoint = 0; endpoint < 60; endpoint += 1) {
        const hosts = hostsAt(81, number => number % 2 === 0 ? 81 : 41, `i-${endpoint}`)
        expect(mostInASecond(sendsOf(hosts, 3))).toBeLessThanOrEqual(MOST_IN_A_SECOND)
      }
    })

    it('gets no more when the set of hosts changes from one moment to the next', () => {
      for (let endpoint = 0; endpoint < 60; endpoint += 1) {
        const id = `i-${endpoint}`
        const before = sendsOf(hostsAt(81, () => 81, id).slice(0, 41), 1)
        const after = sendsOf(hostsAt(81, () => 81, id).slice(40), 1)
        expect(mostInASecond([...before, ...after].sort((left, right) => left - right))).toBeLessThanOrEqual(MOST_IN_A_SECOND)
      }
    })
  })

  it('gets none while it is cold from a host that has sent its part, and some again after the window', () => {
    const [host] = hostsAt(1, () => 10)
    if (host === undefined) throw new Error('no host')
    host.endpoint.beginRequest(0, 0, 0)
    expect(host.allowance.admits(host.endpoint, RATE, 10)).toBe(false)
    expect(host.allowance.admits(host.endpoint, RATE, COLD_WINDOW_MS + 1)).toBe(true)
  })
})

/** A host that may send nothing to cold endpoints. */
const holdCold = (now: number) => (endpoint: EndpointState): HoldBackReason | undefined => endpoint.isCold(now) ? 'cold' : undefined

describe('chooseEndpoint with cold endpoints', () => {
  const ask = (overrides: Partial<EndpointQuery> = {}): EndpointQuery => ({ excluded: new Set(), dataCentre: 'north', others: undefined, ...overrides })
  const choose = (endpoints: readonly EndpointState[], asked: EndpointQuery, now = 0): string => {
    const choice = chooseEndpoint(endpoints, asked, new PromptResidencyTracker(), now, 0)
    return typeof choice === 'string' ? choice : choice.endpoint.id
  }

  it('leaves them to hosts that may send there, however idle they are', () => {
    const warm = new EndpointState(listed('warm'))
    for (let sent = 0; sent < 20; sent += 1) warm.beginRequest(0, 0, 0)
    const cold = new EndpointState(listed('cold', { isCold: true }))
    expect(choose([warm, cold], ask({ holdBackReason: holdCold(0) }))).toBe('warm')
    expect(choose([warm, cold], ask())).toBe('cold')
  })

  it('says so when all are cold and none may be used', () => {
    expect(choose([new EndpointState(listed('cold', { isCold: true }))], ask({ holdBackReason: holdCold(0) }))).toBe('all-cold')
  })

  it('takes one that was out of reach for cold until the list has had time to tell', () => {
    const returned = new EndpointState(listed('returned'))
    returned.health.observe('unreachable', 0)
    expect(choose([returned], ask({ holdBackReason: holdCold(100) }), 100)).toBe('all-cold')
    expect(returned.health.isPaused(700)).toBe(false)
    expect(choose([returned], ask({ holdBackReason: holdCold(700) }), 700)).toBe('all-cold')
    expect(choose([returned], ask({ holdBackReason: holdCold(100 + ASSUMED_COLD_MS + 1) }), 100 + ASSUMED_COLD_MS + 1)).toBe('returned')
  })
})

describe('chooseEndpoint during an evacuation', () => {
  const north = (): EndpointState => new EndpointState(listed('n'))
  const south = (): EndpointState => new EndpointState(listed('s', { dataCentre: 'south' }))
  const ask = (evacuated: readonly string[]): EndpointQuery => ({ excluded: new Set(), dataCentre: 'north', others: undefined, evacuated: new Set(evacuated) })

  it('uses the other data centres only, however busy they are', () => {
    const busy = south()
    for (let sent = 0; sent < 50; sent += 1) busy.beginRequest(0, 0, 0)
    expect(chooseEndpoint([north(), busy], ask(['north']), new PromptResidencyTracker(), 0, 0)).toMatchObject({ endpoint: busy })
  })

  it('has none when all are evacuated, and says why', () => {
    expect(chooseEndpoint([north(), south()], ask(['north', 'south']), new PromptResidencyTracker(), 0, 0)).toBe('all-evacuated')
  })
})
