/**
 * Distinguishes requests and parts of prompts that crash endpoints from those that only were at the same endpoints.
 *
 * A poison request arrives repeatedly, at any host, and each endpoint that starts to run it
 * crashes and loses all of its other requests. Every request that was lost in a crash is
 * suspect at first. After a few crashes, only the request that was present at all of them is left:
 * other requests are lost once or, if callers repeat them, occasionally, and they complete in
 * between. Hosts can't remember which requests completed, so they are told first which requests
 * to watch for.
 *
 * Requests that crash endpoints may have nothing in common but one part of their prompts. So the
 * parts of requests that were lost before they began to answer are suspects as well, and any
 * request with a part that is completed clears it.
 */
import type { QuarantineDecision, QuarantineEntry } from '@eelgrassmux/schema/quarantineEntry'
import type { CrashReport } from './crashReport.js'
import { isPartFingerprint } from './partFingerprint.js'
import { EVIDENCE_LIFETIME_MS, quarantineDurationMs, SUSPICION_DURATION_MS } from './quarantineDurations.js'

/** Number of crashes after which a request that was present at all of them is considered the cause. */
const CRASHES_TO_QUARANTINE = 3

/** The same for a part of prompts. Requests that crash nothing often share one, so parts are at crashes by chance more often. */
const CRASHES_TO_QUARANTINE_PART = 4

/** Number of crashes after which hosts are asked to report whether the request completes. */
const CRASHES_TO_SUSPECT = 2

/** Time within which crashes may have a common cause, in milliseconds. They count as one crash for a request that was present at all of them. */
const COMMON_CAUSE_WINDOW_MS = 200

/** Time that all hosts have to report which requests were at an endpoint, in milliseconds, before its crash counts. */
const REPORT_SETTLING_MS = 300

/** Time for which a completed request is not suspected again, in milliseconds. */
const CLEARANCE_LIFETIME_MS = EVIDENCE_LIFETIME_MS

/**
 * Time for which a request is suspected before it may be quarantined, in milliseconds. In this time hosts learn
 * of the suspicion, and a frequent request that is harmless completes at one of them.
 */
const OBSERVATION_PERIOD_MS = 700

/** The same for a part, in milliseconds. */
const PART_OBSERVATION_PERIOD_MS = 1000

/** Maximum number of suspected requests; those with the strongest correlation come first. The replicated state holds far more, so no entry evicts another. */
const MAX_SUSPECTED = 256

/** Bounds of the state: crashed endpoints, requests at each crash, requests at all crashes, and entries in each map of times. */
const MAX_CRASHES = 512
const MAX_SUSPECTS_PER_CRASH = 256
const MAX_LOSSES = 32_768
const MAX_TRACKED_TIMES = 4096

/** Maximum number of endpoints in a log line. */
const MAX_LOGGED_ENDPOINTS = 4

interface ReportedCrash {
  readonly at: number
  /** Whether the endpoint is known to have crashed. Until then, only the connection may have failed. */
  isConfirmed: boolean
  /** Requests that were at the endpoint, with the milliseconds for which they had run. */
  readonly suspects: Map<string, number>
}

interface Suspect {
  readonly service: string
  readonly endpoints: Set<string>
}

/** Correlation of a request with crashes. */
interface Correlation {
  readonly fingerprint: string
  readonly service: string
  readonly distinctCrashes: number
  /** Longest time that the request ran at an endpoint before the crash, in milliseconds. */
  readonly longestRunMs: number
}

/** The fields of a quarantine entry that the correlator uses. */
export type KnownEntry = Pick<QuarantineEntry, 'fingerprint' | 'state' | 'quarantines'>

/** The quarantine entries that are committed so far. */
export interface CommittedQuarantine {
  readonly all: readonly KnownEntry[]
  find (fingerprint: string): KnownEntry | undefined
}

/** Correlates the crash reports of all hosts. */
export class CrashCorrelator {
  readonly #crashes = new Map<string, ReportedCrash>()
  readonly #suspects = new Map<string, Suspect>()
  /** Suspects that were at more than one endpoint. They are few, so the cost of a decision does not grow with the number of losses. */
  readonly #repeated = new Set<string>()
  #lossCount = 0
  /** Monotonic milliseconds at which endpoints were last found alive after connections to them broke. */
  readonly #aliveAt = new Map<string, number>()
  readonly #clearedAt = new Map<string, number>()
  readonly #suspectedAt = new Map<string, number>()

  /** Number of crashes that still count as evidence. */
  get crashCount (): number { return this.#crashes.size }

  /** Drops all state; hosts report their evidence to the next leader. */
  reset (): void {
    for (const collection of [this.#crashes, this.#suspects, this.#repeated, this.#aliveAt, this.#clearedAt, this.#suspectedAt]) collection.clear()
    this.#lossCount = 0
  }

  /**
   * Records a report. Repeated reports have no effect.
   *
   * @param report - report of one host
   * @param now - monotonic milliseconds
   */
  observe ({ fingerprint, service, endpoint, agoMs, ranMs }: CrashReport, now: number): void {
    const at = now - agoMs
    const isOld = agoMs >= EVIDENCE_LIFETIME_MS || at <= (this.#aliveAt.get(endpoint) ?? Number.NEGATIVE_INFINITY)
    if (isOld || this.#isCleared(fingerprint, at, now)) return
    const crash = this.#crashes.get(endpoint) ?? this.#addCrash(endpoint, at)
    if (crash.suspects.size >= MAX_SUSPECTS_PER_CRASH && !crash.suspects.has(fingerprint)) return
    if (!crash.suspects.has(fingerprint)) this.#lossCount += 1
    crash.suspects.set(fingerprint, Math.max(ranMs, crash.suspects.get(fingerprint) ?? 0))
    const suspect = this.#suspects.get(fingerprint) ?? { service, endpoints: new Set() }
    suspect.endpoints.add(endpoint)
    this.#suspects.set(fingerprint, suspect)
    if (suspect.endpoints.size > 1) this.#repeated.add(fingerprint)
    this.#evictOldest()
  }

  /**
   * @param committed - committed quarantine entries
   * @returns endpoints whose crash has to be confirmed for a decision; a check is costly, so most endpoints are never checked
   */
  unconfirmedCrashes (committed: CommittedQuarantine): string[] {
    const unconfirmed = new Set<string>()
    for (const [fingerprint, { endpoints }] of this.#candidates(committed)) {
      const needed = committed.find(fingerprint)?.state === 'released' ? 1 : CRASHES_TO_SUSPECT
      if (this.#distinctCrashes([...endpoints]) < needed) continue
      for (const endpoint of endpoints) if (this.#crashes.get(endpoint)?.isConfirmed === false) unconfirmed.add(endpoint)
    }
    return [...unconfirmed]
  }

  /**
   * @param endpoint - incarnation
   * @param hasCrashed - whether the endpoint has crashed; otherwise only connections to it broke
   * @param now - monotonic milliseconds
   */
  recordCrashCheck (endpoint: string, hasCrashed: boolean, now: number): void {
    const crash = this.#crashes.get(endpoint)
    if (crash === undefined) return
    if (hasCrashed) {
      crash.isConfirmed = true
      return
    }
    this.#dropCrash(endpoint)
    setBounded(this.#aliveAt, endpoint, now)
  }

  /**
   * Records that a request completed, so it does not crash endpoints.
   *
   * @param fingerprint - fingerprint of the request
   * @param now - monotonic milliseconds
   */
  recordCompletion (fingerprint: string, now: number): void {
    setBounded(this.#clearedAt, fingerprint, now)
    for (const endpoint of this.#suspects.get(fingerprint)?.endpoints ?? []) {
      if (this.#crashes.get(endpoint)?.suspects.delete(fingerprint) === true) this.#lossCount -= 1
    }
    this.#suspects.delete(fingerprint)
    this.#repeated.delete(fingerprint)
  }

  /**
   * @param committed - committed quarantine entries
   * @param now - monotonic milliseconds
   * @returns decisions that follow from the current evidence
   */
  decide (committed: CommittedQuarantine, now: number): QuarantineDecision[] {
    this.#expireCrashes(now)
    const quarantined = new Set(committed.all.filter(({ state }) => state === 'quarantined').map(({ fingerprint }) => fingerprint))
    const decisions: QuarantineDecision[] = []
    for (let correlation = this.#strongest(quarantined, committed, now); correlation !== undefined; correlation = this.#strongest(quarantined, committed, now)) {
      const { fingerprint, service } = correlation
      quarantined.add(fingerprint)
      decisions.push({ fingerprint, service, decision: 'quarantine', forMs: quarantineDurationMs(committed.find(fingerprint)?.quarantines ?? 0) })
    }
    const suspicions = this.#suspicions(quarantined, committed, now)
    for (const { fingerprint } of suspicions) setBounded(this.#suspectedAt, fingerprint, now)
    return [...decisions, ...suspicions]
  }

  /**
   * @param fingerprint - fingerprint of a request
   * @returns the crashes at which it was present, for the log
   */
  describe (fingerprint: string): { readonly crashes: number, readonly longestRunMs: number, readonly endpoints: string } {
    const endpoints = [...this.#suspects.get(fingerprint)?.endpoints ?? []]
    return { crashes: endpoints.length, longestRunMs: Math.round(this.#longestRunMs(fingerprint, endpoints)), endpoints: endpoints.slice(-MAX_LOGGED_ENDPOINTS).join(' ') }
  }

  /**
   * Returns the most likely cause of crashes that no quarantined request explains. The other requests at its
   * endpoints are judged without these crashes.
   */
  #strongest (quarantined: ReadonlySet<string>, committed: CommittedQuarantine, now: number): Correlation | undefined {
    const correlations = this.#correlations(quarantined, committed, now).filter(correlation => this.#mayQuarantine(correlation, committed, now))
    return correlations.sort(compareStrength)[0]
  }

  /** Whether there are enough crashes, and hosts have had time to report that the request completed. */
  #mayQuarantine ({ fingerprint, distinctCrashes }: Correlation, committed: CommittedQuarantine, now: number): boolean {
    const state = committed.find(fingerprint)?.state
    if (state === 'released') return distinctCrashes > 0
    const isPart = isPartFingerprint(fingerprint)
    if (state !== 'suspected' || distinctCrashes < (isPart ? CRASHES_TO_QUARANTINE_PART : CRASHES_TO_QUARANTINE)) return false
    const suspectedAt = this.#suspectedAt.get(fingerprint)
    // The suspicion was committed under another leader.
    if (suspectedAt === undefined) setBounded(this.#suspectedAt, fingerprint, now)
    return suspectedAt !== undefined && now - suspectedAt >= (isPart ? PART_OBSERVATION_PERIOD_MS : OBSERVATION_PERIOD_MS)
  }

  #suspicions (quarantined: ReadonlySet<string>, committed: CommittedQuarantine, now: number): QuarantineDecision[] {
    const capacity = MAX_SUSPECTED - committed.all.filter(({ state }) => state === 'suspected').length
    return this.#correlations(quarantined, committed, now)
      .filter(({ fingerprint, distinctCrashes }) => distinctCrashes >= CRASHES_TO_SUSPECT && committed.find(fingerprint) === undefined)
      .sort(compareStrength)
      .slice(0, Math.max(0, capacity))
      .map(({ fingerprint, service }) => ({ fingerprint, service, decision: 'suspect', forMs: SUSPICION_DURATION_MS }))
  }

  /** Requests to judge: those that were at several endpoints, and released ones that were at any. */
  #candidates (committed: CommittedQuarantine): Array<[fingerprint: string, suspect: Suspect]> {
    const released = committed.all.filter(({ state }) => state === 'released').map(({ fingerprint }) => fingerprint)
    return [...new Set([...this.#repeated, ...released])].flatMap(fingerprint => {
      const suspect = this.#suspects.get(fingerprint)
      return suspect === undefined ? [] : [[fingerprint, suspect]]
    })
  }

  #correlations (quarantined: ReadonlySet<string>, committed: CommittedQuarantine, now: number): Correlation[] {
    const quarantinedParts = new Set([...quarantined].filter(isPartFingerprint))
    const toRequests = this.#attributableTo(quarantined, now)
    // A request that was repeated and lost a few times does not explain crashes away that one of its parts may have caused.
    const toParts = this.#attributableTo(quarantinedParts, now)
    return this.#candidates(committed).filter(([fingerprint]) => !quarantined.has(fingerprint)).map(([fingerprint, { service, endpoints }]) => {
      const crashes = [...endpoints].filter(isPartFingerprint(fingerprint) ? toParts : toRequests)
      return { fingerprint, service, distinctCrashes: this.#distinctCrashes(crashes), longestRunMs: this.#longestRunMs(fingerprint, crashes) }
    })
  }

  /** Returns whether a crash may be attributed to a further cause; each crash is judged once. */
  #attributableTo (quarantined: ReadonlySet<string>, now: number): (endpoint: string) => boolean {
    const cache = new Map<string, boolean>()
    return endpoint => {
      const result = cache.get(endpoint) ?? this.#isAttributable(endpoint, quarantined, now)
      cache.set(endpoint, result)
      return result
    }
  }

  #longestRunMs (fingerprint: string, endpoints: readonly string[]): number {
    return Math.max(0, ...endpoints.map(endpoint => this.#crashes.get(endpoint)?.suspects.get(fingerprint) ?? 0))
  }

  /** Whether a crash is confirmed, all hosts have had time to report on it, and no quarantined request explains it. */
  #isAttributable (endpoint: string, quarantined: ReadonlySet<string>, now: number): boolean {
    const crash = this.#crashes.get(endpoint)
    if (crash?.isConfirmed !== true || now - crash.at < REPORT_SETTLING_MS) return false
    return quarantined.size === 0 || ![...crash.suspects.keys()].some(fingerprint => quarantined.has(fingerprint))
  }

  /** Counts crashes that are far enough apart in time to have separate causes. */
  #distinctCrashes (endpoints: readonly string[]): number {
    const times = endpoints.map(endpoint => this.#crashes.get(endpoint)?.at ?? 0).sort((left, right) => left - right)
    let distinctCrashes = 0
    let last = Number.NEGATIVE_INFINITY
    for (const at of times) {
      if (at - last < COMMON_CAUSE_WINDOW_MS) continue
      distinctCrashes += 1
      last = at
    }
    return distinctCrashes
  }

  /** Whether a completion disproves that the crash was caused by the request or part. A part may begin to crash endpoints later, for instance new ones. */
  #isCleared (fingerprint: string, crashedAt: number, now: number): boolean {
    const clearedAt = this.#clearedAt.get(fingerprint)
    if (clearedAt === undefined) return false
    return isPartFingerprint(fingerprint) ? crashedAt <= clearedAt : now - clearedAt < CLEARANCE_LIFETIME_MS
  }

  #addCrash (endpoint: string, at: number): ReportedCrash {
    const crash: ReportedCrash = { at, isConfirmed: false, suspects: new Map() }
    this.#crashes.set(endpoint, crash)
    return crash
  }

  #evictOldest (): void {
    while (this.#crashes.size > MAX_CRASHES || this.#lossCount > MAX_LOSSES) {
      const [oldest] = this.#crashes.keys()
      if (oldest === undefined) return
      this.#dropCrash(oldest)
    }
  }

  #expireCrashes (now: number): void {
    for (const [endpoint, { at }] of this.#crashes) if (now - at >= EVIDENCE_LIFETIME_MS) this.#dropCrash(endpoint)
  }

  #dropCrash (endpoint: string): void {
    for (const fingerprint of this.#crashes.get(endpoint)?.suspects.keys() ?? []) {
      const suspect = this.#suspects.get(fingerprint)
      suspect?.endpoints.delete(endpoint)
      this.#lossCount -= 1
      if (suspect === undefined || suspect.endpoints.size > 1) continue
      this.#repeated.delete(fingerprint)
      if (suspect.endpoints.size === 0) this.#suspects.delete(fingerprint)
    }
    this.#crashes.delete(endpoint)
  }
}

/** Orders by descending number of crashes, then whole requests before parts, then by the longest run before a crash. */
function compareStrength (left: Correlation, right: Correlation): number {
  const isLeftPart = isPartFingerprint(left.fingerprint)
  const isRightPart = isPartFingerprint(right.fingerprint)
  if (left.distinctCrashes !== right.distinctCrashes) return right.distinctCrashes - left.distinctCrashes
  if (isLeftPart !== isRightPart) return isLeftPart ? 1 : -1
  // A request that crashes endpoints does so soon. Of two parts, the one that comes first in prompts is in all requests that have the other one.
  return isLeftPart ? right.longestRunMs - left.longestRunMs : left.longestRunMs - right.longestRunMs
}

/** Sets an entry of a bounded map and evicts the oldest entry if the map is full. */
function setBounded (map: Map<string, number>, key: string, at: number): void {
  map.delete(key)
  map.set(key, at)
  const [oldest] = map.keys()
  if (map.size > MAX_TRACKED_TIMES && oldest !== undefined) map.delete(oldest)
}
