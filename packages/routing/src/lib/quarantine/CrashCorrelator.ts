/**
 * Tells requests that crash the endpoints that run them from those that merely ran there.
 *
 * Answers the load pattern in which one request comes again and again, at any host, and each
 * endpoint that begins to run it crashes, with everything else that ran there. Every request that
 * was lost with an endpoint is suspect at first. What is left after a few crashes is
 * the request that was at all of them: the others are lost once or, if they are
 * repeated, now and then, and complete in between. Hosts can't remember which requests
 * completed, so they are told first which ones to look out for.
 */
import type { QuarantineDecision, QuarantineEntry } from '@eelgrassmux/schema/quarantineEntry'
import type { CrashReport } from './crashReport.js'
import { EVIDENCE_LIFETIME_MS, quarantineDurationMs, SUSPICION_DURATION_MS } from './quarantineDurations.js'

/** Crashes after which a request that was at all of them is taken to be the cause. */
const CRASHES_TO_QUARANTINE = 3

/** Crashes after which hosts are asked to say if it completes. */
const CRASHES_TO_SUSPECT = 2

/** Endpoints that crash within this time may have a cause in common, in milliseconds: whatever was at all of them counts once. */
const CORRELATED_MS = 200

/** Time for which all hosts may report who was at an endpoint, in milliseconds, before its crash counts. */
const SETTLING_MS = 300

/** Time for which a request that completed is not suspected again, in milliseconds. */
const CLEARED_MS = EVIDENCE_LIFETIME_MS

/**
 * Time for which a request is suspected before it may be quarantined, in milliseconds: hosts hear of it, and one
 * that is asked often and crashes nothing completes somewhere.
 */
const OBSERVATION_MS = 700

/** Requests that are suspected at the same time, the most correlated first: well within what the agreed state holds, so that none pushes another out. */
const MOST_SUSPECTED = 256

/** Bounds of what is held: endpoints that crashed, requests at each and at all of them, requests cleared, endpoints found alive. */
const MOST_CRASHES = 512
const MOST_SUSPECTS_OF_CRASH = 256
const MOST_LOSSES = 32_768
const MOST_REMEMBERED = 4096

/** Endpoints named in a line of the log. */
const MOST_DESCRIBED = 4

interface ReportedCrash {
  readonly at: number
  /** Whether the endpoint is known to have crashed; until then it may only have been the connection. */
  isConfirmed: boolean
  /** Requests that were there, with how long they had been. */
  readonly suspects: Map<string, number>
}

interface Suspect {
  readonly service: string
  readonly endpoints: Set<string>
}

/** How a request and crashes go together. */
interface Correlation {
  readonly fingerprint: string
  readonly service: string
  readonly distinctCrashes: number
  /** The longest that it was at an endpoint before that crashed, in milliseconds. */
  readonly longestRunMs: number
}

/** An entry, as far as it matters here. */
export type KnownEntry = Pick<QuarantineEntry, 'fingerprint' | 'state' | 'quarantines'>

/** What is agreed so far. */
export interface AgreedQuarantine {
  readonly all: readonly KnownEntry[]
  find (fingerprint: string): KnownEntry | undefined
}

/** Reports of all hosts. */
export class CrashCorrelator {
  readonly #crashes = new Map<string, ReportedCrash>()
  readonly #suspects = new Map<string, Suspect>()
  /** Those that were at more than one endpoint: few, so that a look does not grow with all that was lost. */
  readonly #repeated = new Set<string>()
  #losses = 0
  /** When endpoints were last seen to live although connections to them broke. */
  readonly #aliveAt = new Map<string, number>()
  readonly #clearedAt = new Map<string, number>()
  readonly #suspectedAt = new Map<string, number>()

  /** Crashes that still count. */
  get crashCount (): number { return this.#crashes.size }

  /** Forgets everything; hosts tell the next leader what they hold. */
  reset (): void {
    for (const held of [this.#crashes, this.#suspects, this.#repeated, this.#aliveAt, this.#clearedAt, this.#suspectedAt]) held.clear()
    this.#losses = 0
  }

  /**
   * Takes a report; the same one again changes nothing.
   *
   * @param report - of one host
   * @param now - monotonic milliseconds
   */
  observe ({ fingerprint, service, endpoint, agoMs, ranMs }: CrashReport, now: number): void {
    const at = now - agoMs
    const isOld = agoMs >= EVIDENCE_LIFETIME_MS || at <= (this.#aliveAt.get(endpoint) ?? Number.NEGATIVE_INFINITY)
    if (isOld || this.#isCleared(fingerprint, now)) return
    const crash = this.#crashes.get(endpoint) ?? this.#addCrash(endpoint, at)
    if (crash.suspects.size >= MOST_SUSPECTS_OF_CRASH && !crash.suspects.has(fingerprint)) return
    if (!crash.suspects.has(fingerprint)) this.#losses += 1
    crash.suspects.set(fingerprint, Math.max(ranMs, crash.suspects.get(fingerprint) ?? 0))
    const suspect = this.#suspects.get(fingerprint) ?? { service, endpoints: new Set() }
    suspect.endpoints.add(endpoint)
    this.#suspects.set(fingerprint, suspect)
    if (suspect.endpoints.size > 1) this.#repeated.add(fingerprint)
    this.#makeRoom()
  }

  /**
   * @param agreed - quarantine so far
   * @returns endpoints of which it matters whether they have crashed: asking costs, so most are never asked
   */
  unconfirmedCrashes (agreed: AgreedQuarantine): string[] {
    const wanted = new Set<string>()
    for (const [fingerprint, { endpoints }] of this.#candidates(agreed)) {
      const needed = agreed.find(fingerprint)?.state === 'released' ? 1 : CRASHES_TO_SUSPECT
      if (this.#distinctCrashes([...endpoints]) < needed) continue
      for (const endpoint of endpoints) if (this.#crashes.get(endpoint)?.isConfirmed === false) wanted.add(endpoint)
    }
    return [...wanted]
  }

  /**
   * @param endpoint - incarnation
   * @param hasCrashed - whether it has; if not, only connections to it broke
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
    remember(this.#aliveAt, endpoint, now)
  }

  /**
   * Notes that a request completed: it crashes no endpoints.
   *
   * @param fingerprint - of the request
   * @param now - monotonic milliseconds
   */
  recordCompletion (fingerprint: string, now: number): void {
    remember(this.#clearedAt, fingerprint, now)
    for (const endpoint of this.#suspects.get(fingerprint)?.endpoints ?? []) {
      if (this.#crashes.get(endpoint)?.suspects.delete(fingerprint) === true) this.#losses -= 1
    }
    this.#suspects.delete(fingerprint)
    this.#repeated.delete(fingerprint)
  }

  /**
   * @param agreed - quarantine so far
   * @param now - monotonic milliseconds
   * @returns what follows from what is held now
   */
  decide (agreed: AgreedQuarantine, now: number): QuarantineDecision[] {
    this.#forgetOld(now)
    const quarantined = new Set(agreed.all.filter(({ state }) => state === 'quarantined').map(({ fingerprint }) => fingerprint))
    const decisions: QuarantineDecision[] = []
    for (let correlation = this.#strongest(quarantined, agreed, now); correlation !== undefined; correlation = this.#strongest(quarantined, agreed, now)) {
      const { fingerprint, service } = correlation
      quarantined.add(fingerprint)
      decisions.push({ fingerprint, service, decision: 'quarantine', forMs: quarantineDurationMs(agreed.find(fingerprint)?.quarantines ?? 0) })
    }
    const suspicions = this.#suspicions(quarantined, agreed, now)
    for (const { fingerprint } of suspicions) remember(this.#suspectedAt, fingerprint, now)
    return [...decisions, ...suspicions]
  }

  /**
   * @param fingerprint - of a request
   * @returns the crashes that it was at, for the log
   */
  describe (fingerprint: string): { readonly crashes: number, readonly longestRunMs: number, readonly endpoints: string } {
    const endpoints = [...this.#suspects.get(fingerprint)?.endpoints ?? []]
    return { crashes: endpoints.length, longestRunMs: Math.round(this.#longestRunMs(fingerprint, endpoints)), endpoints: endpoints.slice(-MOST_DESCRIBED).join(' ') }
  }

  /**
   * The request that is most likely the cause of crashes that no other explains. The others at its
   * endpoints are decided on without those crashes.
   */
  #strongest (quarantined: ReadonlySet<string>, agreed: AgreedQuarantine, now: number): Correlation | undefined {
    const correlations = this.#correlations(quarantined, agreed, now).filter(correlation => this.#mayQuarantine(correlation, agreed, now))
    return correlations.sort(compareStrength)[0]
  }

  /** Whether there are crashes enough, and hosts have had time to say that it completed. */
  #mayQuarantine ({ fingerprint, distinctCrashes }: Correlation, agreed: AgreedQuarantine, now: number): boolean {
    const state = agreed.find(fingerprint)?.state
    if (state === 'released') return distinctCrashes > 0
    if (state !== 'suspected' || distinctCrashes < CRASHES_TO_QUARANTINE) return false
    const suspectedAt = this.#suspectedAt.get(fingerprint)
    // Agreed on under another leader.
    if (suspectedAt === undefined) remember(this.#suspectedAt, fingerprint, now)
    return suspectedAt !== undefined && now - suspectedAt >= OBSERVATION_MS
  }

  #suspicions (quarantined: ReadonlySet<string>, agreed: AgreedQuarantine, now: number): QuarantineDecision[] {
    const room = MOST_SUSPECTED - agreed.all.filter(({ state }) => state === 'suspected').length
    return this.#correlations(quarantined, agreed, now)
      .filter(({ fingerprint, distinctCrashes }) => distinctCrashes >= CRASHES_TO_SUSPECT && agreed.find(fingerprint) === undefined)
      .sort(compareStrength)
      .slice(0, Math.max(0, room))
      .map(({ fingerprint, service }) => ({ fingerprint, service, decision: 'suspect', forMs: SUSPICION_DURATION_MS }))
  }

  /** Requests that may be decided on: at several endpoints or, if they are known, at one. */
  #candidates (agreed: AgreedQuarantine): Array<[fingerprint: string, suspect: Suspect]> {
    const released = agreed.all.filter(({ state }) => state === 'released').map(({ fingerprint }) => fingerprint)
    return [...new Set([...this.#repeated, ...released])].flatMap(fingerprint => {
      const suspect = this.#suspects.get(fingerprint)
      return suspect === undefined ? [] : [[fingerprint, suspect]]
    })
  }

  #correlations (quarantined: ReadonlySet<string>, agreed: AgreedQuarantine, now: number): Correlation[] {
    const counted = new Map<string, boolean>()
    const counts = (endpoint: string): boolean => {
      const known = counted.get(endpoint) ?? this.#counts(endpoint, quarantined, now)
      counted.set(endpoint, known)
      return known
    }
    return this.#candidates(agreed).filter(([fingerprint]) => !quarantined.has(fingerprint)).map(([fingerprint, { service, endpoints }]) => {
      const crashes = [...endpoints].filter(counts)
      return { fingerprint, service, distinctCrashes: this.#distinctCrashes(crashes), longestRunMs: this.#longestRunMs(fingerprint, crashes) }
    })
  }

  #longestRunMs (fingerprint: string, endpoints: readonly string[]): number {
    return Math.max(0, ...endpoints.map(endpoint => this.#crashes.get(endpoint)?.suspects.get(fingerprint) ?? 0))
  }

  /** Confirmed, reported by all who had to, and not explained by a request that is known for it. */
  #counts (endpoint: string, quarantined: ReadonlySet<string>, now: number): boolean {
    const crash = this.#crashes.get(endpoint)
    if (crash?.isConfirmed !== true || now - crash.at < SETTLING_MS) return false
    return quarantined.size === 0 || ![...crash.suspects.keys()].some(fingerprint => quarantined.has(fingerprint))
  }

  /** Crashes that are far enough from each other to have causes of their own. */
  #distinctCrashes (endpoints: readonly string[]): number {
    const times = endpoints.map(endpoint => this.#crashes.get(endpoint)?.at ?? 0).sort((left, right) => left - right)
    let distinctCrashes = 0
    let last = Number.NEGATIVE_INFINITY
    for (const at of times) {
      if (at - last < CORRELATED_MS) continue
      distinctCrashes += 1
      last = at
    }
    return distinctCrashes
  }

  #isCleared (fingerprint: string, now: number): boolean {
    const clearedAt = this.#clearedAt.get(fingerprint)
    return clearedAt !== undefined && now - clearedAt < CLEARED_MS
  }

  #addCrash (endpoint: string, at: number): ReportedCrash {
    const crash: ReportedCrash = { at, isConfirmed: false, suspects: new Map() }
    this.#crashes.set(endpoint, crash)
    return crash
  }

  #makeRoom (): void {
    while (this.#crashes.size > MOST_CRASHES || this.#losses > MOST_LOSSES) {
      const [oldest] = this.#crashes.keys()
      if (oldest === undefined) return
      this.#dropCrash(oldest)
    }
  }

  #forgetOld (now: number): void {
    for (const [endpoint, { at }] of this.#crashes) if (now - at >= EVIDENCE_LIFETIME_MS) this.#dropCrash(endpoint)
  }

  #dropCrash (endpoint: string): void {
    for (const fingerprint of this.#crashes.get(endpoint)?.suspects.keys() ?? []) {
      const suspect = this.#suspects.get(fingerprint)
      suspect?.endpoints.delete(endpoint)
      this.#losses -= 1
      if (suspect === undefined || suspect.endpoints.size > 1) continue
      this.#repeated.delete(fingerprint)
      if (suspect.endpoints.size === 0) this.#suspects.delete(fingerprint)
    }
    this.#crashes.delete(endpoint)
  }
}

/** More crashes first; among equals the one that endpoints survived for the shortest time. */
function compareStrength (left: Correlation, right: Correlation): number {
  return right.distinctCrashes - left.distinctCrashes || left.longestRunMs - right.longestRunMs
}

/** Keeps the newest entries of a bounded map. */
function remember (map: Map<string, number>, key: string, at: number): void {
  map.delete(key)
  map.set(key, at)
  const [oldest] = map.keys()
  if (map.size > MOST_REMEMBERED && oldest !== undefined) map.delete(oldest)
}
