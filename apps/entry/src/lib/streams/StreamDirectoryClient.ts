/** {@link StreamDirectory} that keeps the streams of this host at control hosts while their routes have several origins. */
import { chooseOriginHolders } from '@eelgrassmux/routing/streams/chooseOriginHolders'
import { OriginSearch } from '@eelgrassmux/routing/streams/OriginSearch'
import { MAX_LIST_SKEW_MS, PossibleOrigins } from '@eelgrassmux/routing/streams/PossibleOrigins'
import { RecentStreams } from '@eelgrassmux/routing/streams/RecentStreams'
import { MAX_KEPT_MS, MAX_STREAMS_PER_MESSAGE, type StreamOrigin } from '@eelgrassmux/routing/streams/streamOrigin'
import { StreamOrigins } from '@eelgrassmux/routing/streams/StreamOrigins'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { findOrigin, recordStreams } from '@eelgrassmux/rpc/methods/streamMethods'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { BegunStream, StreamDirectory, TakenUpStream } from './StreamDirectory.js'

/** Delay before streams are reported, in milliseconds; it collects those that begin together. */
const BATCH_WINDOW_MS = 20

/** Most searches at a time; further streams count as unknown. */
const MAX_SEARCHES = 4096

/** Time for which an origin is remembered that was found at a control host, in milliseconds; callers that retry ask again. */
const FOUND_KEPT_MS = 10_000

/** Dependencies of the client. */
export interface StreamDirectoryPorts {
  readonly datagrams: Pick<DatagramClient, 'ask' | 'tell'>
  /** Returns the addresses of all control hosts. */
  controlHosts (): readonly string[]
  /** Returns the milliseconds since the platform stated the endpoint list. */
  listAgeMs (now: number): number
}

/** Id in questions about streams that callers do not name. Control hosts know no stream by it, since no header can hold it. */
const UNNAMED_STREAM = '\n'

type Listener = (origin: StreamOrigin | undefined) => void

interface OpenSearch {
  /** Id of the stream; undefined if callers do not name it, and then streams of a route that may be equally old share the search. */
  readonly id: string | undefined
  readonly key: string
  readonly route: string
  readonly search: OriginSearch
  readonly listeners: Listener[]
  timer: NodeJS.Timeout | undefined
}

/** Reports the streams of this host, and searches for the others. */
export class StreamDirectoryClient implements StreamDirectory {
  readonly #origins = new StreamOrigins()
  readonly #possible = new PossibleOrigins()
  readonly #recent = new RecentStreams()
  readonly #searches = new Map<string, OpenSearch>()
  readonly #outcomes: LabelledCounter
  #timer: NodeJS.Timeout | undefined

  /**
   * @param host - name of this host
   * @param ports - dependencies
   * @param telemetry - metrics
   */
  constructor (private readonly host: string, private readonly ports: StreamDirectoryPorts, telemetry: Telemetry) {
    this.#outcomes = telemetry.labelledCounter('stream_origins_total', 'Streams that callers took up, by where their origin was found', 'found')
    telemetry.gauge('stream_origins', 'Streams whose origin this host remembers', () => this.#origins.size)
  }

  /**
   * Must be called whenever the site or the list has changed.
   *
   * @param site - site in force
   * @param listed - the list
   */
  observe (site: Site, listed: readonly ListedEndpoint[]): void {
    this.#possible.observe(site, listed, performance.now())
    if (site.routes.some(({ name }) => this.#possible.hasSeveral(name))) this.#scheduleReport()
  }

  record ({ id, route, origin, keepMs }: BegunStream): void {
    if (id === '') return
    const now = performance.now()
    const stream = { id, origin, keepMs: Math.min(MAX_KEPT_MS, Math.max(0, keepMs)) }
    this.#origins.record(stream, now)
    this.#recent.add(route, stream, now)
    this.#possible.noteBegun(origin, now)
    if (!this.#possible.hasSeveral(route)) return
    // Other hosts may not list the version yet; they find out from the control hosts that it has begun streams.
    if (this.newVersionsOf(origin.service)?.has(origin.software) === true) this.#report()
    else this.#scheduleReport()
  }

  find ({ id, route, maxAgeMs }: TakenUpStream, done: Listener): void {
    const now = performance.now()
    const known = id === undefined ? undefined : this.#origins.find(id, now)
    const possible = this.#possible.begunBy(route, now)
    if (known !== undefined) {
      this.#outcomes.count('this-host')
      done(known)
    } else if (id === undefined && possible.length > 1) {
      this.#outcomes.count('nowhere')
      done(undefined)
    } else {
      // Even a recent list that shows one version does not tell what hosts with a newer list have begun.
      const isRecent = this.ports.listAgeMs(now) <= MAX_LIST_SKEW_MS
      const observedMs = this.#possible.observedMs(now)
      const search = new OriginSearch({ possible, isRecent, observedMs }, maxAgeMs, this.ports.controlHosts().length, now)
      this.#search({ id, key: id === undefined ? `route ${maxAgeMs} ${route}` : `stream ${id}`, route, search, listeners: [done], timer: undefined })
    }
  }

  newVersionsOf (service: string): ReadonlySet<string | undefined> | undefined {
    return this.#possible.newVersionsOf(service, performance.now())
  }

  /** Reports the last streams, and ends all searches without a result. */
  stop (): void {
    this.#report()
    for (const { timer } of this.#searches.values()) clearTimeout(timer)
    this.#searches.clear()
  }

  #scheduleReport (): void {
    this.#timer ??= setTimeout(() => { this.#report() }, BATCH_WINDOW_MS)
  }

  #report (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    const streams = this.#recent.takeUnreported(route => this.#possible.hasSeveral(route), performance.now())
    const holders = chooseOriginHolders(this.host, this.ports.controlHosts())
    for (let at = 0; at < streams.length; at += MAX_STREAMS_PER_MESSAGE) {
      const message = { streams: streams.slice(at, at + MAX_STREAMS_PER_MESSAGE) }
      for (const holder of holders) this.ports.datagrams.tell(holder, recordStreams, message)
    }
  }

  #search (search: OpenSearch): void {
    const open = this.#searches.get(search.key)
    if (open !== undefined) {
      open.listeners.push(...search.listeners)
      return
    }
    if (this.#searches.size >= MAX_SEARCHES) {
      this.#outcomes.count('nowhere')
      for (const done of search.listeners) done(undefined)
      return
    }
    this.#searches.set(search.key, search)
    this.#advance(search)
  }

  #advance (open: OpenSearch): void {
    if (this.#searches.get(open.key) !== open) return
    clearTimeout(open.timer)
    const step = open.search.next(performance.now())
    if (step.kind === 'found') return this.#settle(open, step.origin, step.isSole ? 'sole-version' : 'control-host')
    if (step.kind === 'unknown') return this.#settle(open, undefined, 'nowhere')
    open.timer = setTimeout(() => { this.#advance(open) }, step.until - performance.now())
    if (step.kind === 'ask') this.#ask(open)
  }

  #ask (open: OpenSearch): void {
    for (const address of this.ports.controlHosts()) {
      this.ports.datagrams.ask(address, findOrigin, { id: open.id ?? UNNAMED_STREAM, route: open.route }, answer => {
        open.search.observeAnswer(address, answer)
        this.#advance(open)
      })
    }
  }

  #settle ({ id, key, listeners }: OpenSearch, origin: StreamOrigin | undefined, found: string): void {
    this.#searches.delete(key)
    this.#outcomes.count(found)
    if (id !== undefined && origin !== undefined) this.#origins.record({ id, origin, keepMs: FOUND_KEPT_MS }, performance.now())
    for (const done of listeners) done(origin)
  }
}
