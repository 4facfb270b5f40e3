/** The sites that the soak puts in force: each version keeps all that earlier ones had and adds one route. */
import type { Route, Site, SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'

export const MODEL = 'base'
export const SITE_HOST = 'soak'
export const PLAIN_SERVICE = 'app'
export const MODEL_SERVICE = 'engines'

/** Data centres; processes of each role are spread over them in turn. */
export const DATA_CENTRES = ['hall-north', 'hall-central', 'hall-south'] as const

/** Requests a second that an endpoint takes while it is cold, in runs in which endpoints come back cold. */
export const COLD_REQUESTS_PER_SECOND = 4

/** How long it is cold after its start, in milliseconds. */
export const COLD_DURATION_MS = 3000

/**
 * @param index - number of a process in its role
 * @returns where it stands
 */
export function dataCentreOf (index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? ''
}

/** How long a request may take, in milliseconds: longer than any that the callers make, pauses included. */
export const REQUEST_TIMEOUT_MS = 12_000

/** Two customers who share no cache with anybody, and one who may. */
export const CUSTOMERS: readonly SiteCustomer[] = [
  { name: 'ward', keys: ['key-of-ward'], isIsolated: true },
  { name: 'clinic', keys: ['key-of-clinic'], isIsolated: true },
  { name: 'kiosk', keys: ['key-of-kiosk'], isIsolated: false }
]

/**
 * @param version - site version, from 1
 * @returns path prefix of the route that comes with it
 */
export function probePath (version: number): string {
  return `/since-${version}/`
}

/**
 * @param version - from 1
 * @param hasColdRate - whether its services state what cold endpoints take
 * @returns the whole site
 */
export function soakSite (version: number, hasColdRate = false): Site {
  const coldRate = hasColdRate ? { coldRequestsPerSecond: COLD_REQUESTS_PER_SECOND } : {}
  return {
    version,
    routes: [
      route('/safe/', { attempts: 2 }),
      route('/unsafe/', { kind: 'unsafe' }),
      route('/stream/', { kind: 'stream' }),
      route('/resumable/', { kind: 'stream', isResumable: true, attempts: 3 }),
      route('/generation/', {
        kind: 'stream', isResumable: true, attempts: 3, keepsPrompts: true, targets: [{ service: MODEL_SERVICE, weight: 1 }]
      }),
      ...Array.from({ length: version }, (_, index) => route(probePath(index + 1), { attempts: 2 }))
    ],
    services: [
      { type: 'replicated', name: PLAIN_SERVICE, connectionsPerEndpoint: 0, healthPath: '/health', ...coldRate },
      {
        type: 'replicated',
        name: MODEL_SERVICE,
        connectionsPerEndpoint: 0,
        healthPath: '/health',
        ...coldRate,
        engine: { slots: 16, cacheTokens: 1_000_000, bytesPerToken: 1, linkMbps: 0, models: [MODEL] }
      }
    ],
    customers: [...CUSTOMERS],
    limits: { headerBytes: 8000, bodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 }
  }
}

function route (pathPrefix: string, overrides: Partial<Route>): Route {
  return {
    name: pathPrefix,
    host: SITE_HOST,
    pathPrefix,
    kind: 'safe',
    isResumable: false,
    attempts: 1,
    timeoutMs: REQUEST_TIMEOUT_MS,
    targetLatencyMs: 5000,
    priority: 0,
    isPublic: false,
    keepsPrompts: false,
    longestPauseMs: 0,
    targets: [{ service: PLAIN_SERVICE, weight: 1 }],
    ...overrides
  }
}
