/**
 * Reads the platform's list of endpoints on behalf of all hosts that watch this control host.
 *
 * The platform counts calls over all hosts together, so entry hosts do not read
 * the list themselves. A control host reads the list while at least one host
 * watches it, and shortly after, and forwards the changes.
 */
import { EventEmitter } from 'node:events'
import { InvariantViolation } from '@eelgrassmux/schema/invariant'
import type { LoadedModel, ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { Result } from '@eelgrassmux/schema/Result'
import { rejectEntry, type RejectedEntries, type RejectedEntry } from '@eelgrassmux/telemetry/RejectedEntries'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { endpointsOfSite } from './endpointsOfSite.js'
import { EndpointRegistry, type EndpointListing, type EndpointRestart } from './EndpointRegistry.js'

/** How long the list is read after the last watcher has left, in milliseconds; hosts that restart are back earlier. */
const LINGER_MS = 15_000

/** Reads the endpoint list from the platform. */
export interface EndpointSource {
  /** @returns the part of the list that could be read, or the reason why the platform did not answer */
  list (): Promise<Result<EndpointListing, { readonly kind: string }>>
}

/** Newer information about an endpoint than the list has. */
export interface EndpointOverlay {
  /** Start time of the incarnation that the information applies to, as in the list. */
  readonly startedAtMs: number | undefined
  readonly models: readonly LoadedModel[]
  readonly isBusy: boolean
}

/** Polls the endpoint list while it is watched, and holds the latest result. */
export class EndpointListTask {
  readonly #changes = new EventEmitter()
  readonly #registry = new EndpointRegistry()
  #overlays = new Map<string, EndpointOverlay>()
  #endpoints: readonly ListedEndpoint[] = []
  #fingerprint = ''
  #version = 0
  #readAt: number | undefined
  #isReachable = true
  #watchers = 0
  #timer: NodeJS.Timeout | undefined
  #lingerTimer: NodeJS.Timeout | undefined
  #followedSince = Number.POSITIVE_INFINITY
  #isReading = false

  /**
   * @param source - reads the platform's list
   * @param intervalMs - interval between reads while the list is watched, in milliseconds
   * @param site - returns the currently committed site
   * @param rejected - records entries that cannot be used
   * @param telemetry - log
   */
  constructor (
    private readonly source: EndpointSource,
    private readonly intervalMs: number,
    private readonly site: () => Site | undefined,
    private readonly rejected: RejectedEntries,
    private readonly telemetry: Telemetry
  ) {
    this.#changes.setMaxListeners(0)
  }

  /** The latest list with the overlays applied. */
  get endpoints (): readonly ListedEndpoint[] { return this.#endpoints }
  /** Listed endpoints whose service is defined in the site. */
  get endpointsOfSite (): readonly ListedEndpoint[] { return endpointsOfSite(this.#endpoints, this.site()) }
  /** Increases with each change of the list. */
  get version (): number { return this.#version }
  get changes (): EventEmitter { return this.#changes }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the last complete answer of the platform, or -1 if there was none yet
   */
  readAgeMs (now: number): number {
    return this.#readAt === undefined ? -1 : now - this.#readAt
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds for which the list has been read without a break, as far as the platform answered; 0 if it is not read
   */
  followedMs (now: number): number {
    return Math.max(0, now - this.#followedSince)
  }

  /** Adds a watcher and starts reading the list if it is the first one. */
  addWatcher (): void {
    this.#watchers += 1
    if (this.#watchers > 1) return
    clearTimeout(this.#lingerTimer)
    if (this.#timer === undefined) {
      this.#followedSince = performance.now()
      this.#timer = setInterval(() => { void this.#read() }, this.intervalMs)
    }
    void this.#read()
  }

  /** Removes a watcher. After the last one the list is read a while longer: hosts that restart ask what was listed before. */
  removeWatcher (): void {
    this.#watchers -= 1
    if (this.#watchers === 0) this.#lingerTimer = setTimeout(() => { this.stop() }, LINGER_MS)
  }

  /** Stops reading the list. */
  stop (): void {
    clearTimeout(this.#lingerTimer)
    clearInterval(this.#timer)
    this.#timer = undefined
    this.#followedSince = Number.POSITIVE_INFINITY
  }

  /** @param overlays - overlays by endpoint id, which replace all previous ones */
  setOverlays (overlays: Map<string, EndpointOverlay>): void {
    this.#overlays = overlays
    this.#publish()
  }

  /**
   * Records a start time that an endpoint reported itself, possibly before the list shows it.
   *
   * @param id - id of the endpoint
   * @param overlay - information from the endpoint's answer, with its start time
   */
  observeStart (id: string, overlay: EndpointOverlay): void {
    const restart = this.#registry.observeStart(id, overlay.startedAtMs)
    if (restart === undefined) return
    this.#logRestarts([restart])
    this.#overlays.set(id, overlay)
    this.#publish()
  }

  async #read (): Promise<void> {
    if (this.#isReading) return
    this.#isReading = true
    try {
      const answer = await this.source.list()
      const failureReason = answer.ok ? answer.value.incompleteBecause : answer.error.kind
      this.#updateReachability(failureReason)
      if (answer.ok) this.#applyListing(answer.value, performance.now())
    } catch (error) {
      if (error instanceof InvariantViolation) throw error
      this.rejected.recordFault('endpoint-list', error, performance.now())
      this.#updateReachability('fault')
    } finally {
      this.#isReading = false
    }
  }

  #applyListing (listing: EndpointListing, now: number): void {
    if (listing.incompleteBecause === undefined) this.#readAt = now
    this.#logRestarts(this.#registry.applyListing(listing))
    this.#publish()
    this.rejected.record('endpoint-list', [...listing.rejected, ...this.#rejectUnknownServices()], now)
  }

  #rejectUnknownServices (): RejectedEntry[] {
    const known = new Set(this.endpointsOfSite)
    return this.#endpoints.filter(endpoint => !known.has(endpoint)).map(({ id, service }) => rejectEntry('service: unknown', { id, service }))
  }

  #logRestarts (restarts: readonly EndpointRestart[]): void {
    for (const { id, startedAtMs } of restarts) this.telemetry.logStateChange('endpoint-restarted', { endpoint: id, startedAtMs })
  }

  #updateReachability (failureReason: string | undefined): void {
    const isReachable = failureReason === undefined
    if (isReachable === this.#isReachable) return
    this.#isReachable = isReachable
    this.telemetry.logStateChange(isReachable ? 'endpoint-list-regained' : 'endpoint-list-lost', { reason: failureReason ?? '' })
  }

  #publish (): void {
    const endpoints = this.#registry.endpoints.map(endpoint => applyOverlay(endpoint, this.#overlays.get(endpoint.id)))
    const fingerprint = JSON.stringify(endpoints)
    if (fingerprint === this.#fingerprint) return
    this.#fingerprint = fingerprint
    this.#endpoints = endpoints
    this.#version += 1
    const leaving = endpoints.filter(endpoint => endpoint.isLeaving).length
    this.telemetry.logStateChange('endpoint-list-changed', { version: this.#version, endpoints: endpoints.length, leaving })
    this.#changes.emit('change')
  }
}

function applyOverlay (endpoint: ListedEndpoint, overlay: EndpointOverlay | undefined): ListedEndpoint {
  if (overlay === undefined || overlay.startedAtMs !== endpoint.startedAtMs) return endpoint
  return { ...endpoint, models: [...overlay.models], isBusy: overlay.isBusy }
}
