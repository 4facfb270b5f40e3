/**
 * Reads the platform's list of endpoints for all hosts that watch this control host.
 *
 * Calls to the platform are counted over all hosts together, so entry hosts do
 * not read the list themselves: a control host reads it while somebody watches,
 * and sends on what changed.
 */
import { EventEmitter } from 'node:events'
import type { LoadedModel, ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { Result } from '@eelgrassmux/schema/Result'
import { rejectEntry, type RejectedEntries, type RejectedEntry } from '@eelgrassmux/telemetry/RejectedEntries'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { endpointsOfSite } from './endpointsOfSite.js'
import { EndpointRegistry, type EndpointListing, type EndpointRestart } from './EndpointRegistry.js'

/** Where the list comes from. */
export interface EndpointSource {
  /** @returns what could be read of the list, or why there was no answer */
  list (): Promise<Result<EndpointListing, { readonly kind: string }>>
}

/** What this host knows of an endpoint beyond the list. */
export interface EndpointOverlay {
  /** Start of the incarnation of which it is known, as in the list. */
  readonly startedAtMs: number | undefined
  readonly models: readonly LoadedModel[]
  readonly isBusy: boolean
}

/** Keeps the newest list. */
export class EndpointListTask {
  readonly #changes = new EventEmitter()
  readonly #register = new EndpointRegistry()
  #overlays = new Map<string, EndpointOverlay>()
  #endpoints: readonly ListedEndpoint[] = []
  #fingerprint = ''
  #version = 0
  #readAt: number | undefined
  #isReachable = true
  #watchers = 0
  #timer: NodeJS.Timeout | undefined
  #isReading = false

  /**
   * @param source - the platform's list
   * @param intervalMs - pause between readings while somebody watches, in milliseconds
   * @param site - as agreed, as of now
   * @param rejected - told of entries that can't be used
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

  /** The newest list, with what this host knows beyond it. */
  get endpoints (): readonly ListedEndpoint[] { return this.#endpoints }
  /** Those of them whose service the site has. */
  get endpointsOfSite (): readonly ListedEndpoint[] { return endpointsOfSite(this.#endpoints, this.site()) }
  /** Rises with each change of the list. */
  get version (): number { return this.#version }
  get changes (): EventEmitter { return this.#changes }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the platform answered, minus one before it ever did
   */
  readAgeMs (now: number): number {
    return this.#readAt === undefined ? -1 : now - this.#readAt
  }

  /** Starts to read the list for one more watcher. */
  addWatcher (): void {
    this.#watchers += 1
    if (this.#timer !== undefined) return
    this.#timer = setInterval(() => { void this.#read() }, this.intervalMs)
    void this.#read()
  }

  /** Ends reading when the last watcher has gone. */
  removeWatcher (): void {
    this.#watchers -= 1
    if (this.#watchers === 0) this.stop()
  }

  /** Ends all reading. */
  stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
  }

  /** @param overlays - what is known beyond the list, by endpoint id; replaces what was known before */
  setOverlays (overlays: Map<string, EndpointOverlay>): void {
    this.#overlays = overlays
    this.#publish()
  }

  /**
   * Takes what an endpoint stated itself; the list may state its start later.
   *
   * @param id - endpoint
   * @param overlay - what is known of it since it was asked, with its start
   */
  observeStart (id: string, overlay: EndpointOverlay): void {
    const restart = this.#register.observeStart(id, overlay.startedAtMs)
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
      const lostBecause = answer.ok ? answer.value.incompleteBecause : answer.error.kind
      this.#noteReachable(lostBecause)
      if (answer.ok) this.#take(answer.value, performance.now())
    } finally {
      this.#isReading = false
    }
  }

  #take (reading: EndpointListing, now: number): void {
    if (reading.incompleteBecause === undefined) this.#readAt = now
    this.#logRestarts(this.#register.take(reading))
    this.#publish()
    this.rejected.record('endpoint-list', [...reading.rejected, ...this.#strangers()], now)
  }

  #strangers (): RejectedEntry[] {
    const known = new Set(this.endpointsOfSite)
    return this.#endpoints.filter(endpoint => !known.has(endpoint)).map(({ id, service }) => rejectEntry('service: unknown', { id, service }))
  }

  #logRestarts (restarts: readonly EndpointRestart[]): void {
    for (const { id, startedAtMs } of restarts) this.telemetry.logStateChange('endpoint-restarted', { endpoint: id, startedAtMs })
  }

  #noteReachable (lostBecause: string | undefined): void {
    const isReachable = lostBecause === undefined
    if (isReachable === this.#isReachable) return
    this.#isReachable = isReachable
    this.telemetry.logStateChange(isReachable ? 'endpoint-list-regained' : 'endpoint-list-lost', { reason: lostBecause ?? '' })
  }

  #publish (): void {
    const endpoints = this.#register.endpoints.map(endpoint => overlaid(endpoint, this.#overlays.get(endpoint.id)))
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

function overlaid (endpoint: ListedEndpoint, overlay: EndpointOverlay | undefined): ListedEndpoint {
  if (overlay === undefined || overlay.startedAtMs !== endpoint.startedAtMs) return endpoint
  return { ...endpoint, models: [...overlay.models], isBusy: overlay.isBusy }
}
