/**
 * Schedules when a host queries the load of its peers and when it reports its own load.
 *
 * The schedule is made for many hosts in front of few engines. A host that exchanges load at a
 * fixed rate of five times a second places requests on figures that are 0.1 to 0.25 s old. With
 * 195 hosts in front of 55 engines, two or three further requests have by then reached the engine
 * that looked least busy. A query takes a millisecond or two between data centres, so a host
 * queries when it has a request to place, and reports at once where it sent the request. This
 * costs about as many queries as the fixed rate (1,030 requests a second against 975), gives
 * figures that are a few milliseconds old, and costs an idle host nothing.
 *
 * Every query also carries the load of the host that sends it. A host with ten requests a second
 * will query again soon, and separate reports would double the datagrams that the aggregating
 * host reads, for figures that are only a tenth of a second newer. Such a host therefore reports
 * its sends with its next query, and a host with rare requests reports each send at once.
 */

/** Age up to which a view is used without a new query, in milliseconds. The aggregating host returns the same totals for as long. */
const VIEW_FRESHNESS_MS = 25

/**
 * Longest time that a request waits for an answer, in milliseconds: three round trips between data centres,
 * and little compared with the shortest latency objective (120 ms).
 */
export const MAX_ANSWER_WAIT_MS = 10

/** Consecutive queries without an answer after which requests stop waiting until one arrives: the aggregating host has failed, and another is taking over. */
const MAX_CONSECUTIVE_TIMEOUTS = 2

/** Queries that all hosts together may send in a second: about 0.2 cores of the aggregating host. */
const MAX_QUERIES_PER_SECOND = 2000

/** Queries that a host may send in a burst, because its requests arrive in clusters. */
const QUERY_BURST = 5

/** Delay before a change is reported by itself, in milliseconds, so that the next query may carry it instead. */
const CHANGE_REPORT_DELAY_MS = 250

/**
 * The same delay for a change at a service whose places are counted or for whose endpoints requests wait: they are
 * granted the capacity only once it is known. Calls take tens of milliseconds, so with the usual delay most of the calls
 * that seem to be at an endpoint have ended.
 */
const CONTENDED_CHANGE_REPORT_DELAY_MS = 20

/** Interval at which a host with load repeats its report, in milliseconds. Repeated reports reveal silent endpoints and replace lost datagrams. */
const REPORT_INTERVAL_MS = 350

/** Mean interval between a host's requests up to which they count as frequent, in milliseconds. */
const FREQUENT_REQUEST_INTERVAL_MS = 150

/** Number of requests after which the mean interval is meaningful. */
const MIN_INTERVALS = 20

/** Weight of the newest interval in the mean interval. */
const INTERVAL_SMOOTHING = 0.1

const MILLISECONDS_PER_SECOND = 1000

/** How to proceed with a request that is about to be placed. */
export interface PlacementStep {
  /** Whether to send a query now. */
  readonly asks: boolean
  /** Whether the request waits for an answer, for {@link MAX_ANSWER_WAIT_MS} at most. */
  readonly waits: boolean
}

/** Decides when one host sends queries and reports. */
export class LoadExchangeScheduler {
  /** Time of the query whose answer is the current view. */
  #viewQueriedAt = Number.NEGATIVE_INFINITY
  /** Time of the query that has no answer yet. */
  #queriedAt: number | undefined
  /** Mean interval between placed requests, and the number of intervals. */
  #intervalMs = 0
  #intervalCount = 0
  #placedAt: number | undefined
  #consecutiveTimeouts = 0
  #queryTokens = QUERY_BURST
  #tokensUpdatedAt = 0
  #nextReportAt: number | undefined

  /** @param liveHosts - returns the current number of hosts, which share the query budget */
  constructor (private readonly liveHosts: () => number) {}

  /**
   * @param now - monotonic milliseconds
   * @returns how to proceed with a request that is to be placed now
   */
  planPlacement (now: number): PlacementStep {
    this.#recordInterval(now)
    if (now - this.#viewQueriedAt <= VIEW_FRESHNESS_MS) return { asks: false, waits: false }
    const isQueryPending = this.#queriedAt !== undefined && now - this.#queriedAt < MAX_ANSWER_WAIT_MS
    if (!isQueryPending && this.#queriedAt !== undefined) this.#recordTimeout()
    const asks = !isQueryPending && this.#takeQueryToken(now)
    return { asks, waits: (isQueryPending || asks) && this.#consecutiveTimeouts < MAX_CONSECUTIVE_TIMEOUTS }
  }

  /** @param now - monotonic milliseconds at which a query was sent, which also carries this host's load */
  recordQuery (now: number): void {
    this.#queriedAt = now
    this.#nextReportAt = undefined
  }

  /** @param queriedAt - monotonic milliseconds at which the answered query was sent */
  recordAnswer (queriedAt: number): void {
    this.#viewQueriedAt = Math.max(this.#viewQueriedAt, queriedAt)
    this.#queriedAt = undefined
    this.#consecutiveTimeouts = 0
  }

  /**
   * @param now - monotonic milliseconds at which a request was sent to an endpoint
   * @returns whether to report the send at once
   */
  recordSend (now: number): boolean {
    if (!this.#isFrequent) return true
    this.recordChange(now)
    return false
  }

  /**
   * @param now - monotonic milliseconds at which this host's load at an endpoint changed
   * @param isContended - whether requests wait for endpoints of that service, or its places are counted
   */
  recordChange (now: number, isContended = false): void {
    const at = now + (isContended ? CONTENDED_CHANGE_REPORT_DELAY_MS : CHANGE_REPORT_DELAY_MS)
    this.#nextReportAt = Math.min(at, this.#nextReportAt ?? at)
  }

  /**
   * @param hasLoad - whether the report contained any load
   * @param now - monotonic milliseconds at which the report was sent
   */
  recordReport (hasLoad: boolean, now: number): void {
    this.#nextReportAt = hasLoad ? now + REPORT_INTERVAL_MS : undefined
  }

  /** Monotonic milliseconds at which the next report is due; undefined while there is nothing to report. */
  get nextReportAt (): number | undefined { return this.#nextReportAt }

  /** Whether requests arrive often enough for the queries to carry all reports. */
  get #isFrequent (): boolean { return this.#intervalCount >= MIN_INTERVALS && this.#intervalMs <= FREQUENT_REQUEST_INTERVAL_MS }

  #recordInterval (now: number): void {
    const intervalMs = now - (this.#placedAt ?? now)
    this.#placedAt = now
    this.#intervalCount += 1
    this.#intervalMs += (intervalMs - this.#intervalMs) * Math.max(INTERVAL_SMOOTHING, 1 / this.#intervalCount)
  }

  #recordTimeout (): void {
    this.#queriedAt = undefined
    this.#consecutiveTimeouts += 1
  }

  #takeQueryToken (now: number): boolean {
    const tokensPerMs = MAX_QUERIES_PER_SECOND / MILLISECONDS_PER_SECOND / Math.max(1, this.liveHosts())
    this.#queryTokens = Math.min(QUERY_BURST, this.#queryTokens + (now - this.#tokensUpdatedAt) * tokensPerMs)
    this.#tokensUpdatedAt = now
    if (this.#queryTokens < 1) return false
    this.#queryTokens -= 1
    return true
  }
}
