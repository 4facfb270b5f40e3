/**
 * Aggregates the load of all entry hosts at each endpoint.
 *
 * Without it, several hosts choose the same endpoint, because each sees only its own requests
 * there. With eight hosts, seven eighths of an engine's queue is invisible to each, and engines
 * state their queue only in answers, which arrive after the queue is gone. The number of reports
 * and answers grows linearly with the number of hosts, not with its square. The cost of the
 * aggregation does not depend on the number of reports, because the totals are cached.
 */
import { PACE_LIFETIME_MS, USUAL_PACE } from '../endpoints/MachinePace.js'
import { addLinkLoads, IDLE_LINK, type LinkLoad } from './linkLoad.js'
import { MAX_REPORTED_AGE_MS, NO_ENDPOINT_LOAD, type EndpointBrittleness, type EndpointPace, type EndpointRateLimit, type EndpointLoad, type EndpointStreams, type LoadReport } from './loadReport.js'
import { NewestStatements } from './NewestStatements.js'

/** Time without a report after which a host's load is dropped, in milliseconds: five to twenty reports. */
const HOST_TIMEOUT_MS = 1000

/** Age up to which totals are returned again, in milliseconds: half of the shortest interval between reports. */
const TOTALS_LIFETIME_MS = 25

/** Age up to which a stated rate limit is passed on, in milliseconds. With a low limit, it may take so long until any host is due to send there and reads the limit anew. */
const LIMIT_LIFETIME_MS = 10_000

/** Age up to which a bound on rejections is passed on, in milliseconds: hosts that have just started read it in the answers to their first reports. */
const BRITTLENESS_LIFETIME_MS = 5000

interface HostEntry {
  report: LoadReport
  receivedAt: number
}

/** Load of all hosts at one time. */
export interface AggregatedLoad {
  readonly work: readonly EndpointLoad[]
  readonly links: readonly LinkLoad[]
  readonly limits: readonly EndpointRateLimit[]
  readonly brittle: readonly EndpointBrittleness[]
  readonly paces: readonly EndpointPace[]
  readonly streams: readonly EndpointStreams[]
  /** Sequence of the latest report that the totals include, by host. */
  readonly sequences: ReadonlyMap<string, number>
}

/** Keeps the latest report of each host and sums them. */
export class LoadAggregator {
  readonly #hosts = new Map<string, HostEntry>()
  readonly #limits = new NewestStatements<number | undefined>(LIMIT_LIFETIME_MS)
  readonly #brittle = new NewestStatements<number>(BRITTLENESS_LIFETIME_MS)
  readonly #paces = new NewestStatements<number>(PACE_LIFETIME_MS)
  #totals: AggregatedLoad = { work: [], links: [], limits: [], brittle: [], paces: [], streams: [], sequences: new Map() }
  #aggregatedAt = Number.NEGATIVE_INFINITY
  #unresponsive: readonly string[] = []
  #reportedSince = Number.POSITIVE_INFINITY
  #reportedAt = Number.NEGATIVE_INFINITY

  /**
   * @param report - of one host
   * @param now - monotonic milliseconds
   * @returns whether it is the host's latest report, and not one that was overtaken
   */
  observe (report: LoadReport, now: number): boolean {
    if (now - this.#reportedAt > HOST_TIMEOUT_MS) this.#reportedSince = now
    this.#reportedAt = now
    const previous = this.#hosts.get(report.host)
    // Datagrams may arrive out of order; a restarted host begins at sequence zero.
    const isOld = previous !== undefined && report.sequence < previous.report.sequence && now - previous.receivedAt < HOST_TIMEOUT_MS
    if (!isOld) this.#hosts.set(report.host, { report, receivedAt: now })
    for (const { endpoint, requestsPerSecond, statedAgoMs } of report.limits ?? []) this.#limits.observe(endpoint, requestsPerSecond, now - statedAgoMs)
    for (const { endpoint, rejectionsPerSecond, statedAgoMs } of report.brittle ?? []) this.#brittle.observe(endpoint, rejectionsPerSecond, now - statedAgoMs)
    for (const { endpoint, factor, statedAgoMs } of report.paces ?? []) this.#paces.observe(endpoint, factor, now - statedAgoMs)
    return !isOld
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds for which hosts have reported without a break; until all have reported, load is underestimated
   */
  reportedForMs (now: number): number {
    return now - this.#reportedAt > HOST_TIMEOUT_MS ? 0 : now - this.#reportedSince
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the latest report of each host that has reported recently
   */
  latestReports (now: number): LoadReport[] {
    return [...this.#hosts.values()].filter(({ receivedAt }) => now - receivedAt <= HOST_TIMEOUT_MS).map(({ report }) => report)
  }

  /** Whether no host has reported recently. */
  get isIdle (): boolean { return this.#hosts.size === 0 }

  /** Incarnations that are marked as unresponsive. */
  get unresponsive (): readonly string[] { return this.#unresponsive }

  /** @param endpoints - incarnations to mark as unresponsive, from the next totals on */
  setUnresponsive (endpoints: readonly string[]): void {
    this.#unresponsive = endpoints
  }

  /**
   * @param now - monotonic milliseconds
   * @returns load of all hosts, for endpoints that have any; the same object until it is computed anew
   */
  totals (now: number): AggregatedLoad {
    if (now - this.#aggregatedAt < TOTALS_LIFETIME_MS) return this.#totals
    this.#aggregatedAt = now
    this.#totals = this.#aggregate(now)
    return this.#totals
  }

  #recentLimits (now: number): EndpointRateLimit[] {
    return this.#limits.recent(now).map(({ endpoint, value, statedAgoMs }) => ({ endpoint, requestsPerSecond: value, statedAgoMs }))
  }

  #recentBrittle (now: number): EndpointBrittleness[] {
    return this.#brittle.recent(now).map(({ endpoint, value, statedAgoMs }) => ({ endpoint, rejectionsPerSecond: value, statedAgoMs }))
  }

  /** Returns the paces to pass on. Usual ones are kept, so that an older statement that arrives later is not passed on. */
  #recentPaces (now: number): EndpointPace[] {
    return this.#paces.recent(now).filter(({ value }) => value !== USUAL_PACE).map(({ endpoint, value, statedAgoMs }) => ({ endpoint, factor: value, statedAgoMs }))
  }

  #aggregate (now: number): AggregatedLoad {
    const work = new Map<string, EndpointLoad>()
    const links = new Map<string, LinkLoad>()
    const streams = new Map<string, EndpointStreams>()
    const sequences = new Map<string, number>()
    for (const [host, { report, receivedAt }] of this.#hosts) {
      if (now - receivedAt > HOST_TIMEOUT_MS) {
        this.#hosts.delete(host)
        continue
      }
      sequences.set(host, report.sequence)
      for (const entry of report.work) work.set(entry.endpoint, addEndpointLoads(work.get(entry.endpoint), withAdvancedAges(entry, now - receivedAt)))
      for (const entry of report.streams ?? []) streams.set(entry.endpoint, addStreams(streams.get(entry.endpoint), entry))
      for (const entry of report.links) links.set(entry.link, { link: entry.link, ...addLinkLoads(links.get(entry.link) ?? IDLE_LINK, entry) })
    }
    for (const endpoint of this.#unresponsive) work.set(endpoint, { ...work.get(endpoint) ?? { ...NO_ENDPOINT_LOAD, endpoint }, unresponsive: 1 })
    return { work: [...work.values()], links: [...links.values()], limits: this.#recentLimits(now), brittle: this.#recentBrittle(now), paces: this.#recentPaces(now), streams: [...streams.values()], sequences }
  }
}

/** Returns a report's entry with its ages advanced by the time since the report. */
function withAdvancedAges (work: EndpointLoad, ageMs: number): EndpointLoad {
  return { ...work, lastByteAgoMs: Math.min(MAX_REPORTED_AGE_MS, work.lastByteAgoMs + ageMs), waitedMs: work.inFlight === 0 ? 0 : Math.min(MAX_REPORTED_AGE_MS, work.waitedMs + ageMs) }
}

function addStreams (sum: EndpointStreams | undefined, { endpoint, streams, shortestPauseMs }: EndpointStreams): EndpointStreams {
  return { endpoint, streams: (sum?.streams ?? 0) + streams, shortestPauseMs: Math.min(sum?.shortestPauseMs ?? shortestPauseMs, shortestPauseMs) }
}

function addEndpointLoads (sum: EndpointLoad | undefined, work: EndpointLoad): EndpointLoad {
  if (sum === undefined) return work
  return {
    endpoint: work.endpoint,
    inFlight: sum.inFlight + work.inFlight,
    pendingTokens: sum.pendingTokens + work.pendingTokens,
    heldTokens: sum.heldTokens + work.heldTokens,
    lastByteAgoMs: Math.min(sum.lastByteAgoMs, work.lastByteAgoMs),
    waitedMs: Math.max(sum.waitedMs, work.waitedMs),
    avoiders: sum.avoiders + work.avoiders,
    unresponsive: 0,
    outcomes: sum.outcomes + work.outcomes,
    failures: sum.failures + work.failures
  }
}
