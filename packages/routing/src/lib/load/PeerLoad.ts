/** Load of the other entry hosts at each endpoint and on each link, as last received. */
import type { PaceStatement } from '../endpoints/MachinePace.js'
import { NO_STREAM_LIMITS, type StreamLimits } from '../endpoints/RunningStreams.js'
import { IDLE_LINK, type LinkLoadFigures, type LinkLoad } from './linkLoad.js'
import { NO_ENDPOINT_LOAD, type EndpointBrittleness, type EndpointRateLimit, type EndpointLoad, type LoadReport, type LoadTotals, type LoadFigures } from './loadReport.js'

/** Age up to which the number of requests of other hosts is used, in milliseconds. */
const MAX_REQUESTS_AGE_MS = 5000

/** Age after which the figures are no longer used, in milliseconds: a few lost datagrams. */
const PEER_LOAD_LIFETIME_MS = 400

/** Load of one host or of all. */
export type HostLoad = Pick<LoadReport, 'work' | 'links' | 'limits' | 'brittle' | 'paces' | 'streams'>

/** Load that this host reported under one sequence number, to be subtracted from the totals that include it. */
interface OwnReport {
  readonly sequence: number
  readonly reportedAt: number
  readonly work: ReadonlyMap<string, EndpointLoad>
  readonly links: ReadonlyMap<string, LinkLoad>
  readonly streams: ReadonlyMap<string, StreamLimits>
}

/** Reports that are kept until they are answered. */
const MAX_PENDING_REPORTS = 16

/** Subtracts this host's own reports from the totals of all hosts. */
export class PeerLoad {
  #reports: OwnReport[] = []
  #endpoints = new Map<string, LoadFigures>()
  #links = new Map<string, LinkLoadFigures>()
  #limits: readonly EndpointRateLimit[] = []
  #brittle: readonly EndpointBrittleness[] = []
  #paces = new Map<string, PaceStatement>()
  #streams = new Map<string, StreamLimits>()
  #receivedAt = Number.NEGATIVE_INFINITY
  #statementsAsOf = Number.NEGATIVE_INFINITY
  #latestSequence = -1
  #requests = 0

  /**
   * Records a report that is about to be sent.
   *
   * @param sequence - sequence number of the report
   * @param own - this host's own load
   * @param now - monotonic milliseconds
   */
  recordOwnReport (sequence: number, { work, links, streams = [] }: HostLoad, now: number): void {
    this.#reports.push({
      sequence,
      reportedAt: now,
      work: new Map(work.map(entry => [entry.endpoint, entry])),
      links: new Map(links.map(entry => [entry.link, entry])),
      streams: new Map(streams.map(entry => [entry.endpoint, entry]))
    })
    if (this.#reports.length > MAX_PENDING_REPORTS) this.#reports.shift()
  }

  /**
   * Records the totals that answer a report.
   *
   * @param totals - load of all hosts, this one included, with the sequence number of the report
   * @param now - monotonic milliseconds
   */
  recordTotals ({ sequence, work, links, limits = [], brittle = [], paces = [], streams = [] }: LoadTotals, now: number): void {
    const own = this.#reports.find(report => report.sequence === sequence)
    if (own === undefined || sequence < this.#latestSequence) return
    this.#latestSequence = sequence
    this.#receivedAt = now
    // Totals are sent more than once and take time to arrive. They cannot be older than the report of this host that they include.
    this.#statementsAsOf = own.reportedAt
    this.#limits = limits
    this.#brittle = brittle
    this.#paces = new Map(paces.map(({ endpoint, factor, statedAgoMs }) => [endpoint, { factor, statedAt: own.reportedAt - statedAgoMs }]))
    this.#streams = new Map(streams.map(total => [total.endpoint, subtractStreams(total, own.streams.get(total.endpoint))]))
    this.#endpoints = new Map()
    this.#requests = 0
    for (const total of work) {
      const others = subtractEndpointLoad(total, own.work.get(total.endpoint))
      this.#endpoints.set(total.endpoint, others)
      this.#requests += others.inFlight
    }
    this.#links = new Map()
    for (const total of links) this.#links.set(total.link, subtractLinkLoad(total, own.links.get(total.link)))
  }

  /** Time from which the ages of statements in the latest totals count back, in monotonic milliseconds; minus infinity before the first totals. */
  get statementsAsOf (): number { return this.#statementsAsOf }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the figures are recent enough to be used
   */
  isRecent (now: number): boolean {
    return now - this.#receivedAt < PEER_LOAD_LIFETIME_MS
  }

  /**
   * @param now - monotonic milliseconds
   * @returns requests of all other hosts at endpoints, also if they are a few seconds old; undefined if they are not known
   */
  requestsInFlight (now: number): number | undefined {
    return now - this.#receivedAt < MAX_REQUESTS_AGE_MS ? this.#requests : undefined
  }

  /**
   * @param endpoint - incarnation of an endpoint
   * @param now - monotonic milliseconds
   * @returns milliseconds since any host, this one included, received a byte from the endpoint, as last reported
   */
  heardAgoMs (endpoint: string, now: number): number {
    return this.forEndpoint(endpoint).lastByteAgoMs + now - this.#receivedAt
  }

  /**
   * @param endpoint - incarnation of an endpoint
   * @returns load of all other hosts at the endpoint
   */
  forEndpoint (endpoint: string): LoadFigures {
    return this.#endpoints.get(endpoint) ?? NO_ENDPOINT_LOAD
  }

  /**
   * @param endpoint - incarnation of an endpoint
   * @returns the newest pace other than the usual one that any host has read as of the last answer, whatever its age; undefined if there is none
   */
  paceOf (endpoint: string): PaceStatement | undefined {
    return this.#paces.get(endpoint)
  }

  /**
   * @param endpoint - incarnation of an endpoint
   * @returns running streams of all other hosts at the endpoint whose pause is limited
   */
  streamsAt (endpoint: string): StreamLimits {
    return this.#streams.get(endpoint) ?? NO_STREAM_LIMITS
  }

  /** Rate limits that endpoints have stated, as of the last answer. */
  get limits (): readonly EndpointRateLimit[] { return this.#limits }

  /** Bounds on rejections that endpoints have stated, as of the last answer. */
  get brittle (): readonly EndpointBrittleness[] { return this.#brittle }

  /** Load of all other hosts on links, by link name. */
  get links (): ReadonlyMap<string, LinkLoadFigures> { return this.#links }
}

function subtractEndpointLoad (total: EndpointLoad, own: LoadFigures = NO_ENDPOINT_LOAD): LoadFigures {
  return {
    inFlight: Math.max(0, total.inFlight - own.inFlight),
    pendingTokens: Math.max(0, total.pendingTokens - own.pendingTokens),
    heldTokens: Math.max(0, total.heldTokens - own.heldTokens),
    // A minimum and a maximum can't be split by host. They hold for this host's own requests as well.
    lastByteAgoMs: total.lastByteAgoMs,
    waitedMs: total.waitedMs,
    avoiders: Math.max(0, total.avoiders - own.avoiders),
    unresponsive: total.unresponsive,
    outcomes: Math.max(0, total.outcomes - own.outcomes),
    failures: Math.max(0, total.failures - own.failures)
  }
}

/** A minimum can't be split by host, so the shortest limit of all hosts is kept as long as others have streams. */
function subtractStreams (total: StreamLimits, own = NO_STREAM_LIMITS): StreamLimits {
  const streams = total.streams - own.streams
  return streams > 0 ? { streams, shortestPauseMs: total.shortestPauseMs } : NO_STREAM_LIMITS
}

function subtractLinkLoad (total: LinkLoadFigures, own: LinkLoadFigures = IDLE_LINK): LinkLoadFigures {
  return {
    pendingBytes: Math.max(0, total.pendingBytes - own.pendingBytes),
    samples: Math.max(0, total.samples - own.samples),
    slower: Math.max(0, total.slower - own.slower),
    faster: Math.max(0, total.faster - own.faster)
  }
}
