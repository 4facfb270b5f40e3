/** The sites that the soak puts in force: each version has everything that the previous version has, and one more route. */
import type { Route, Site, SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'

export const MODEL = 'base'
export const SITE_HOST = 'soak'
export const PLAIN_SERVICE = 'app'
export const MODEL_SERVICE = 'engines'

/** Data centres; the processes of each role are assigned to them in rotation. */
export const DATA_CENTRES = ['hall-north', 'hall-central', 'hall-south'] as const

/** Number of requests per second that an endpoint accepts while it is cold, in runs in which restarted endpoints are cold. */
export const COLD_REQUESTS_PER_SECOND = 4

/** How long an endpoint is cold after its start, in milliseconds. */
export const COLD_DURATION_MS = 3000

/**
 * @param index - index of a process among those of its role
 * @returns the data centre of the process
 */
export function dataCentreOf (index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? ''
}

/** Timeout of requests, in milliseconds: longer than any request of the callers takes, even if processes are paused meanwhile. */
export const REQUEST_TIMEOUT_MS = 12_000

/** Largest body of a request, in bytes. */
export const MAX_BODY_BYTES = 4_194_304

/** Retry budget of each service: retries for each request, and on top in any ten seconds, over all entry hosts. */
export const RETRY_BUDGET = { ratio: 0.1, slack: 20 } as const

/** Two isolated customers, which share no cache with others, and one that may share it. */
export const CUSTOMERS: readonly SiteCustomer[] = [
  { name: 'ward', keys: ['key-of-ward'], isIsolated: true },
  { name: 'clinic', keys: ['key-of-clinic'], isIsolated: true },
  { name: 'kiosk', keys: ['key-of-kiosk'], isIsolated: false }
]

/**
 * @param version - site version, from 1
 * @returns path prefix of the route that this version adds
 */
export function probePath (version: number): string {
  return `/since-${version}/`
}

/**
 * @param version - site version, from 1
 * @param hasColdRate - whether the services limit the request rate of cold endpoints
 * @returns the complete site
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
    limits: { headerBytes: 8000, bodyBytes: MAX_BODY_BYTES, headerTimeoutMs: 3000, idleTimeoutMs: 5000 }
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
