import { describe, expect, it } from 'vitest'
import { ColdAllowance } from '@eelgrassmux/routing/endpoints/ColdAllowance'
import { EndpointState, RETURN_MS } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndpointLimits } from './EndpointLimits.js'

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
  const limits = new EndpointLimits(new ColdAllowance('host', () => 1), () => [north, south, plain], new Telemetry('test'))
  limits.configure(SITE)

  it('takes the endpoints of a data centre for cold for a while after its evacuation', () => {
    limits.evacuate(new Set(['north']), 0)
    expect([...limits.evacuated]).toEqual(['north'])
    limits.evacuate(new Set(), 60_000)
    expect(limits.evacuated.size).toBe(0)
    expect(north.isCold(60_000 + RETURN_MS - 1)).toBe(true)
    expect(north.isCold(60_000 + RETURN_MS)).toBe(false)
    expect(south.isCold(60_000)).toBe(false)
  })

  it('bounds the rate of services that state one, and of no other', () => {
    expect(limits.admitsCold(north, 70_000)).toBe(true)
    north.begin(0, 0, 70_000)
    expect(limits.admitsCold(north, 70_001)).toBe(false)
    plain.begin(0, 0, 70_000)
    expect(limits.admitsCold(plain, 70_001)).toBe(true)
  })
})
