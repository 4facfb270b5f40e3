import { describe, expect, it } from 'vitest'
import { checkSite } from './checkSite.js'
import type { Route, Site } from './siteSchema.js'

function route (name: string, overrides: Partial<Route> = {}): Route {
  return {
    name, host: 'h', pathPrefix: `/${name}/`, kind: 'safe', isResumable: false, attempts: 1, timeoutMs: 1, targetLatencyMs: 1, priority: 0, isPublic: false, keepsPrompts: false, longestPauseMs: 0, targets: [{ service: 'app', weight: 1 }], ...overrides
  }
}

function site (overrides: Partial<Site> = {}): Site {
  return {
    version: 1,
    routes: [route('a')],
    services: [{ type: 'replicated', name: 'app', connectionsPerEndpoint: 0, healthPath: '/health' }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    ...overrides
  }
}

describe('checkSite', () => {
  it('accepts a consistent site', () => {
    expect(checkSite(site())).toBeUndefined()
  })

  it.each([
    ['a route to a service that does not exist', site({ routes: [route('a', { targets: [{ service: 'none', weight: 1 }] })] }), 'routes.a.targets'],
    ['weights that add up to 0', site({ routes: [route('a', { targets: [{ service: 'app', weight: 0 }] })] }), 'routes.a.targets'],
    ['two routes with the same host and path prefix', site({ routes: [route('a'), route('b', { host: 'H', pathPrefix: '/a/' })] }), 'routes.b.pathPrefix'],
    ['a key that two customers have', site({ customers: [{ name: 'x', keys: ['k'], isIsolated: false }, { name: 'y', keys: ['k'], isIsolated: false }] }), 'customers.y.keys']
  ])('returns the field of %s', (_what, wrong, field) => {
    expect(checkSite(wrong)?.field).toBe(field)
  })

  it('rejects a route to a store', () => {
    const stores: Site['services'] = [{ type: 'store', name: 'app', address: '10.0.0.1:1', dataCentre: 'n', cacheTokens: 1, linkMbps: 1, firstByteMs: 0, isManaged: true }]
    expect(checkSite(site({ services: stores }))?.field).toBe('routes.a.targets')
  })
})
