/** A site configuration with one route of each kind, for tests. */
import type { Route, Site } from '@eelgrassmux/schema/site/siteSchema'
import { HEALTH_PATH } from './FakeEndpoint.js'

/**
 * @param pathPrefix - path prefix, which is also the route's name
 * @param overrides - fields that differ from those of a safe route
 */
export function testRoute (pathPrefix: string, overrides: Partial<Route>): Route {
  return {
    name: pathPrefix, host: 'h', pathPrefix, kind: 'safe', isResumable: false, attempts: 2, timeoutMs: 2000, targetLatencyMs: 100, priority: 0, isPublic: true, keepsPrompts: false, longestPauseMs: 0, targets: [{ service: 'app', weight: 1 }], ...overrides
  }
}

/** The site configuration. */
export const TEST_SITE: Site = {
  version: 1,
  routes: [
    testRoute('/safe/', {}),
    testRoute('/unsafe/', { kind: 'unsafe', attempts: 1 }),
    testRoute('/stream/', { kind: 'stream', attempts: 1 }),
    testRoute('/resumable/', { kind: 'stream', isResumable: true, timeoutMs: 8000 }),
    testRoute('/short/', { kind: 'unsafe', timeoutMs: 150 }),
    testRoute('/private/', { isPublic: false })
  ],
  services: [{ type: 'replicated', name: 'app', connectionsPerEndpoint: 0, healthPath: HEALTH_PATH }],
  customers: [{ name: 'ward', keys: ['right'], isIsolated: false }],
  limits: { headerBytes: 4000, bodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 }
}
