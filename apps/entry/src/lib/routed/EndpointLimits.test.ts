import { describe, expect, it } from 'vitest'
import { BrittleEndpointLimiter } from '@eelgrassmux/routing/endpoints/BrittleEndpointLimiter'
import { ColdEndpointLimiter } from '@eelgrassmux/routing/endpoints/ColdEndpointLimiter'
import { EndpointState, ASSUMED_COLD_MS } from '@eelgrassmux/routing/endpoints/EndpointState'
import { SharedRateLimiter } from '@eelgrassmux/routing/endpoints/SharedRateLimiter'
import type { PeerLoad } from '@eelgrassmux/routing/load/PeerLoad'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndpointLimits } from './EndpointLimits.js'
import type { ResponseHead } from './RoutedAttempt.js'

const listed = (id: string, dataCentre: string, service = 'engines'): ListedEndpoint =>
  ({ id, service, address: '10.0.0.1:1', dataCentre, slots: 8, isLeaving: false, isBusy: false, models: [] })

const SITE: Site = {
  version: 1,
  routes: [],
  services: [
    { type: 'replicated', name: 'engines', connectionsPerEndpoint: 0, healthPath: '/', coldRequestsPerSecond: 1 },
    { type: 'replicated', name: 'plain', connectionsPerEndpoint: 0, healthPath: '/' }
  ],
  limits: { headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }
}

describe('EndpointLimits', () => {
  const north = new EndpointState(listed('n', 'north'))
  const south = new EndpointState(listed('s', 'south'))
  const plain = new EndpointState(listed('p', 'north', 'plain'))
  const limits = new EndpointLimits(new ColdEndpointLimiter('host', () => 1), new SharedRateLimiter('host', () => 1), new BrittleEndpointLimiter('host', () => 1), () => 0, () => [north, south, plain], new Telemetry('test'))
  limits.configure(SITE)

  it('treats the endpoints of a data centre as cold for a while after its evacuation', () => {
    limits.evacuate(new Set(['north']), 0)
    expect([...limits.evacuated]).toEqual(['north'])
    limits.evacuate(new Set(), 60_000)
    expect(limits.evacuated.size).toBe(0)
    expect(north.isCold(60_000 + ASSUMED_COLD_MS - 1)).toBe(true)
    expect(north.isCold(60_000 + ASSUMED_COLD_MS)).toBe(false)
    expect(south.isCold(60_000)).toBe(false)
  })

  it('limits the rate of cold endpoints only for services that state one', () => {
    const engine = new EndpointState({ ...listed('c', 'north'), isCold: true })
    const app = new EndpointState({ ...listed('a', 'north', 'plain'), isCold: true })
    expect(limits.hold(engine, 70_000)).toBeUndefined()
    engine.beginRequest(0, 0, 70_000)
    expect(limits.hold(engine, 70_001)).toEqual({ reason: 'cold', until: 70_001 })
    app.beginRequest(0, 0, 70_000)
    expect(limits.hold(app, 70_001)).toBeUndefined()
  })

  describe('with an endpoint that states a rate', () => {
    const head = (requestsPerSecond: number | undefined, overrides: Partial<ResponseHead> = {}, instance?: string): ResponseHead => ({
      status: 200, headers: [], fields: { requestId: undefined, isNotExecuted: false, instance, load: undefined, version: undefined, requestsPerSecond, isLeaving: false, retryAfterMs: undefined }, ...overrides
    })

    it('allows this host\'s share, returns when the next request may be sent, and lifts the limit once the endpoint states none', () => {
      const endpoint = new EndpointState(listed('r', 'south', 'plain'))
      limits.observeAnswer(endpoint, head(0.5), 0)
      for (const now of [0, 100]) endpoint.beginRequest(0, 0, now)
      expect(limits.hold(endpoint, 200)).toMatchObject({ reason: 'rate-limited' })
      const until = limits.firstReleaseAt([plain, endpoint], 200)
      expect(until).toBeGreaterThan(4000)
      expect(limits.hold(endpoint, until)).toBeUndefined()
      limits.observeAnswer(endpoint, head(undefined), 300)
      expect(limits.hold(endpoint, 301)).toBeUndefined()
    })

    it('ignores statements of another instance at its address', () => {
      const endpoint = new EndpointState(listed('r', 'south', 'plain'))
      limits.observeAnswer(endpoint, head(0.5, { status: 421 }), 0)
      limits.observeAnswer(endpoint, head(0.5, {}, 'another'), 0)
      expect(endpoint.rateLimit.requestsPerSecond).toBeUndefined()
      limits.observeAnswer(endpoint, head(0.5, { status: 421 }, 'r'), 0)
      expect(endpoint.rateLimit.requestsPerSecond).toBe(0.5)
    })

    it('applies the newest statement, whichever host has read it', () => {
      const lifted = (statedAgoMs: number): Pick<PeerLoad, 'limits' | 'brittle'> => ({ limits: [{ endpoint: plain.incarnation, requestsPerSecond: undefined, statedAgoMs }], brittle: [] })
      limits.observeAnswer(plain, head(2), 1000)
      limits.applyStatements(lifted(500), 1400)
      expect(plain.rateLimit.requestsPerSecond).toBe(2)
      limits.applyStatements(lifted(100), 1400)
      expect(plain.rateLimit.requestsPerSecond).toBeUndefined()
    })
  })
})
