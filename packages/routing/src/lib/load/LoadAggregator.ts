/**
 * Adds up what entry hosts have under way at each endpoint.
 *
 * Answers the pattern in which several hosts choose the same endpoint because
 * each sees only its own part of the work there: with eight hosts an engine's
 * queue is seven eighths invisible, and engines state it only in answers, which
 * come when the queue is over. Reports and answers grow with the number of
 * hosts, not with its square; the adding up does not grow with reports at all.
 */
import { addLinkLoads, IDLE_LINK, type LinkLoad } from './linkLoad.js'
import { MAX_REPORTED_AGE_MS, NO_ENDPOINT_LOAD, type EndpointRateLimit, type EndpointLoad, type LoadReport } from './loadReport.js'

/** Silence after which a host's work is taken to have ended with it, in milliseconds: five to twenty reports. */
const FORGET_MS = 1000

/** Age up to which totals are given out again, in milliseconds: half of the shortest interval between reports. */
const TOTALS_LIFETIME_MS = 25

/** Age up to which a rate that an endpoint has stated is told, in milliseconds: no host may be due to ask there for so long. */
const LIMIT_LIFETIME_MS = 10_000

interface HostEntry {
  report: LoadReport
  receivedAt: number
}

/** Work of all hosts at one time. */
export interface AggregatedLoad {
  readonly work: readonly EndpointLoad[]
  readonly links: readonly LinkLoad[]
  readonly limits: readonly EndpointRateLimit[]
  /** The newest report of each host that is in it. */
  readonly sequences: ReadonlyMap<string, number>
}

/** Latest report of each host. */
export class LoadAggregator {
  readonly #hosts = new Map<string, HostEntry>()
  readonly #limits = new Map<string, { readonly requestsPerSecond: number | undefined, readonly statedAt: number }>()
  #totals: AggregatedLoad = { work: [], links: [], limits: [], sequences: new Map() }
  #addedAt = Number.NEGATIVE_INFINITY
  #unresponsive: readonly string[] = []

  /**
   * @param report - of one host
   * @param now - monotonic milliseconds
   */
  observe (report: LoadReport, now: number): void {
    const present = this.#hosts.get(report.host)
    // A datagram may be overtaken; a host that started again begins at zero.
    const isOld = present !== undefined && report.sequence < present.report.sequence && now - present.receivedAt < FORGET_MS
    if (!isOld) this.#hosts.set(report.host, { report, receivedAt: now })
    for (const limit of report.limits ?? []) this.#observeLimit(limit, now)
  }

  /** Whether no host has reported lately. */
  get isIdle (): boolean { return this.#hosts.size === 0 }

  /** @param endpoints - incarnations that answer nobody, from the next totals on */
  setUnresponsive (endpoints: readonly string[]): void {
    this.#unresponsive = endpoints
  }

  /**
   * @param now - monotonic milliseconds
   * @returns work of all hosts, for endpoints that have any; the same object until it is added up anew
   */
  totals (now: number): AggregatedLoad {
    if (now - this.#addedAt < TOTALS_LIFETIME_MS) return this.#totals
    this.#addedAt = now
    this.#totals = this.#addUp(now)
    return this.#totals
  }

  #observeLimit ({ endpoint, requestsPerSecond, statedAgoMs }: EndpointRateLimit, now: number): void {
    const statedAt = now - statedAgoMs
    if (statedAt >= (this.#limits.get(endpoint)?.statedAt ?? Number.NEGATIVE_INFINITY)) this.#limits.set(endpoint, { requestsPerSecond, statedAt })
  }

  #recentLimits (now: number): EndpointRateLimit[] {
    for (const [endpoint, { statedAt }] of this.#limits) {
      if (now - statedAt > LIMIT_LIFETIME_MS) this.#limits.delete(endpoint)
    }
    return [...this.#limits].map(([endpoint, { requestsPerSecond, statedAt }]) => ({ endpoint, requestsPerSecond, statedAgoMs: now - statedAt }))
  }

  #addUp (now: number): AggregatedLoad {
    const work = new Map<string, EndpointLoad>()
    const links = new Map<string, LinkLoad>()
    const sequences = new Map<string, number>()
    for (const [host, { report, receivedAt }] of this.#hosts) {
      if (now - receivedAt > FORGET_MS) {
        this.#hosts.delete(host)
        continue
      }
      sequences.set(host, report.sequence)
      for (const entry of report.work) work.set(entry.endpoint, add(work.get(entry.endpoint), aged(entry, now - receivedAt)))
      for (const entry of report.links) links.set(entry.link, { link: entry.link, ...addLinkLoads(links.get(entry.link) ?? IDLE_LINK, entry) })
    }
    for (const endpoint of this.#unresponsive) work.set(endpoint, { ...work.get(endpoint) ?? { ...NO_ENDPOINT_LOAD, endpoint }, unresponsive: 1 })
    return { work: [...work.values()], links: [...links.values()], limits: this.#recentLimits(now), sequences }
  }
}

/** As it is some time after it was reported. */
function aged (work: EndpointLoad, ageMs: number): EndpointLoad {
  return { ...work, lastByteAgoMs: Math.min(MAX_REPORTED_AGE_MS, work.lastByteAgoMs + ageMs), waitedMs: work.inFlight === 0 ? 0 : Math.min(MAX_REPORTED_AGE_MS, work.waitedMs + ageMs) }
}

function add (sum: EndpointLoad | undefined, work: EndpointLoad): EndpointLoad {
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
