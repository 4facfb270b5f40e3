/**
 * Tells requests that end the endpoints that run them from those that merely ran there.
 *
 * Answers the load pattern in which one request comes again and again, at any host, and each
 * endpoint that begins to run it ends, with everything else that ran there. Every request that
 * was lost with an endpoint is suspect at first. What is left after a few ends is
 * the request that was at all of them: the others are lost once or, if they are
 * repeated, now and then, and come through in between. Hosts can't keep what came through
 * of all requests, so they are told first whom to look out for.
 */
import type { Judgement, RequestVerdict } from '@eelgrassmux/schema/requestVerdict'
import type { EndReport } from './endReport.js'
import { EVIDENCE_MS, quarantineMs, SUSPICION_MS } from './quarantineTerms.js'

/** Ends after which a request that was at all of them is taken to be the cause. */
const ENDS_TO_QUARANTINE = 3

/** Ends after which hosts are asked to say if it comes through. */
const ENDS_TO_SUSPECT = 2

/** Endpoints that end within this time have a cause in common, in milliseconds: whatever was at all of them counts once. */
const ONE_OCCASION_MS = 200

/** Time for which all hosts may report who was at an endpoint, in milliseconds, before its end counts. */
const SETTLING_MS = 300

/** Time for which a request that came through is not suspected again, in milliseconds. */
const CLEARED_MS = EVIDENCE_MS

/**
 * Time for which a request is suspected before it may be quarantined, in milliseconds: hosts hear of it, and one
 * that is asked often and ends nothing comes through somewhere.
 */
const HEARING_MS = 700

/** Requests that are suspected at the same time, the gravest first: well within what the agreed state holds, so that none pushes another out. */
const MOST_SUSPECTED = 256

/** Bounds of what is held: endpoints that ended, requests at each and at all of them, requests cleared, endpoints found alive. */
const MOST_ENDS = 512
const MOST_SUSPECTS_OF_END = 256
const MOST_LOSSES = 32_768
const MOST_REMEMBERED = 4096

/** Endpoints named in a line of the log. */
const MOST_DESCRIBED = 4

interface ReportedEnd {
  readonly at: number
  /** Whether the endpoint is known to have ended; until then it may only have been the connection. */
  isCertain: boolean
  /** Requests that were there, with how long they had been. */
  readonly suspects: Map<string, number>
}

interface Suspect {
  readonly service: string
  readonly endpoints: Set<string>
}

/** Ends that speak against a request. */
interface Charge {
  readonly fingerprint: string
  readonly service: string
  readonly occasions: number
  /** The longest that it was at an endpoint before that ended, in milliseconds. */
  readonly longestRunMs: number
}

/** A verdict, as far as it matters here. */
export type KnownVerdict = Pick<RequestVerdict, 'fingerprint' | 'state' | 'quarantines'>

/** What is agreed so far. */
export interface AgreedVerdicts {
  readonly all: readonly KnownVerdict[]
  find (fingerprint: string): KnownVerdict | undefined
}

/** Reports of all hosts. */
export class EndTally {
  readonly #ends = new Map<string, ReportedEnd>()
  readonly #suspects = new Map<string, Suspect>()
  /** Those that were at more than one endpoint: few, so that a look does not grow with all that was lost. */
  readonly #repeated = new Set<string>()
  #losses = 0
  /** When endpoints were last seen to live although connections to them broke. */
  readonly #aliveAt = new Map<string, number>()
  readonly #clearedAt = new Map<string, number>()
  readonly #suspectedAt = new Map<string, number>()

  /** Whether nothing is held that may lead to a judgement. */
  get isEmpty (): boolean { return this.#ends.size === 0 }
  get endCount (): number { return this.#ends.size }

  /** Forgets everything; hosts tell the next leader what they hold. */
  reset (): void {
    for (const held of [this.#ends, this.#suspects, this.#repeated, this.#aliveAt, this.#clearedAt, this.#suspectedAt]) held.clear()
    this.#losses = 0
  }

  /**
   * Takes a report; the same one again changes nothing.
   *
   * @param report - of one host
   * @param now - monotonic milliseconds
   */
  observe ({ fingerprint, service, endpoint, agoMs, ranMs }: EndReport, now: number): void {
    const at = now - agoMs
    const isOld = agoMs >= EVIDENCE_MS || at <= (this.#aliveAt.get(endpoint) ?? Number.NEGATIVE_INFINITY)
    if (isOld || this.#isCleared(fingerprint, now)) return
    const end = this.#ends.get(endpoint) ?? this.#addEnd(endpoint, at)
    if (end.suspects.size >= MOST_SUSPECTS_OF_END && !end.suspects.has(fingerprint)) return
    if (!end.suspects.has(fingerprint)) this.#losses += 1
    end.suspects.set(fingerprint, Math.max(ranMs, end.suspects.get(fingerprint) ?? 0))
    const suspect = this.#suspects.get(fingerprint) ?? { service, endpoints: new Set() }
    suspect.endpoints.add(endpoint)
    this.#suspects.set(fingerprint, suspect)
    if (suspect.endpoints.size > 1) this.#repeated.add(fingerprint)
    this.#makeRoom()
  }

  /**
   * @param agreed - verdicts so far
   * @returns endpoints of which it matters whether they have ended: asking costs, so most are never asked
   */
  uncertainEnds (agreed: AgreedVerdicts): string[] {
    const wanted = new Set<string>()
    for (const [fingerprint, { endpoints }] of this.#candidates(agreed)) {
      const needed = agreed.find(fingerprint)?.state === 'released' ? 1 : ENDS_TO_SUSPECT
      if (this.#occasions([...endpoints]) < needed) continue
      for (const endpoint of endpoints) if (this.#ends.get(endpoint)?.isCertain === false) wanted.add(endpoint)
    }
    return [...wanted]
  }

  /**
   * @param endpoint - incarnation
   * @param hasEnded - whether it has; if not, only connections to it broke
   * @param now - monotonic milliseconds
   */
  settle (endpoint: string, hasEnded: boolean, now: number): void {
    const end = this.#ends.get(endpoint)
    if (end === undefined) return
    if (hasEnded) {
      end.isCertain = true
      return
    }
    this.#dropEnd(endpoint)
    remember(this.#aliveAt, endpoint, now)
  }

  /**
   * Notes that a request came through whole: it ends no endpoints.
   *
   * @param fingerprint - of the request
   * @param now - monotonic milliseconds
   */
  clear (fingerprint: string, now: number): void {
    remember(this.#clearedAt, fingerprint, now)
    for (const endpoint of this.#suspects.get(fingerprint)?.endpoints ?? []) {
      if (this.#ends.get(endpoint)?.suspects.delete(fingerprint) === true) this.#losses -= 1
    }
    this.#suspects.delete(fingerprint)
    this.#repeated.delete(fingerprint)
  }

  /**
   * @param agreed - verdicts so far
   * @param now - monotonic milliseconds
   * @returns what follows from what is held now
   */
  judge (agreed: AgreedVerdicts, now: number): Judgement[] {
    this.#forgetOld(now)
    const culprits = new Set(agreed.all.filter(({ state }) => state === 'quarantined').map(({ fingerprint }) => fingerprint))
    const judgements: Judgement[] = []
    for (let charge = this.#gravest(culprits, agreed, now); charge !== undefined; charge = this.#gravest(culprits, agreed, now)) {
      const { fingerprint, service } = charge
      culprits.add(fingerprint)
      judgements.push({ fingerprint, service, judgement: 'quarantine', forMs: quarantineMs(agreed.find(fingerprint)?.quarantines ?? 0) })
    }
    const suspicions = this.#suspicions(culprits, agreed, now)
    for (const { fingerprint } of suspicions) remember(this.#suspectedAt, fingerprint, now)
    return [...judgements, ...suspicions]
  }

  /**
   * @param fingerprint - of a request
   * @returns what speaks against it, for the log
   */
  describe (fingerprint: string): { readonly ends: number, readonly longestRunMs: number, readonly endpoints: string } {
    const endpoints = [...this.#suspects.get(fingerprint)?.endpoints ?? []]
    return { ends: endpoints.length, longestRunMs: Math.round(this.#longestRunMs(fingerprint, endpoints)), endpoints: endpoints.slice(-MOST_DESCRIBED).join(' ') }
  }

  /**
   * The request that is most likely the cause of what nobody else explains yet. The others at its
   * endpoints are judged without those ends.
   */
  #gravest (culprits: ReadonlySet<string>, agreed: AgreedVerdicts, now: number): Charge | undefined {
    const charges = this.#charges(culprits, agreed, now).filter(charge => this.#isHeard(charge, agreed, now))
    return charges.sort(compareGravity)[0]
  }

  /** Whether there are ends enough, and hosts have had time to say that it came through. */
  #isHeard ({ fingerprint, occasions }: Charge, agreed: AgreedVerdicts, now: number): boolean {
    const state = agreed.find(fingerprint)?.state
    if (state === 'released') return occasions > 0
    if (state !== 'suspected' || occasions < ENDS_TO_QUARANTINE) return false
    const suspectedAt = this.#suspectedAt.get(fingerprint)
    // Agreed on under another leader.
    if (suspectedAt === undefined) remember(this.#suspectedAt, fingerprint, now)
    return suspectedAt !== undefined && now - suspectedAt >= HEARING_MS
  }

  #suspicions (culprits: ReadonlySet<string>, agreed: AgreedVerdicts, now: number): Judgement[] {
    const room = MOST_SUSPECTED - agreed.all.filter(({ state }) => state === 'suspected').length
    return this.#charges(culprits, agreed, now)
      .filter(({ fingerprint, occasions }) => occasions >= ENDS_TO_SUSPECT && agreed.find(fingerprint) === undefined)
      .sort(compareGravity)
      .slice(0, Math.max(0, room))
      .map(({ fingerprint, service }) => ({ fingerprint, service, judgement: 'suspect', forMs: SUSPICION_MS }))
  }

  /** Requests that may be judged: at several endpoints or, if they are known, at one. */
  #candidates (agreed: AgreedVerdicts): Array<[fingerprint: string, suspect: Suspect]> {
    const released = agreed.all.filter(({ state }) => state === 'released').map(({ fingerprint }) => fingerprint)
    return [...new Set([...this.#repeated, ...released])].flatMap(fingerprint => {
      const suspect = this.#suspects.get(fingerprint)
      return suspect === undefined ? [] : [[fingerprint, suspect]]
    })
  }

  #charges (culprits: ReadonlySet<string>, agreed: AgreedVerdicts, now: number): Charge[] {
    const counted = new Map<string, boolean>()
    const counts = (endpoint: string): boolean => {
      const known = counted.get(endpoint) ?? this.#counts(endpoint, culprits, now)
      counted.set(endpoint, known)
      return known
    }
    return this.#candidates(agreed).filter(([fingerprint]) => !culprits.has(fingerprint)).map(([fingerprint, { service, endpoints }]) => {
      const ends = [...endpoints].filter(counts)
      return { fingerprint, service, occasions: this.#occasions(ends), longestRunMs: this.#longestRunMs(fingerprint, ends) }
    })
  }

  #longestRunMs (fingerprint: string, endpoints: readonly string[]): number {
    return Math.max(0, ...endpoints.map(endpoint => this.#ends.get(endpoint)?.suspects.get(fingerprint) ?? 0))
  }

  /** Certain, reported by all who had to, and not explained by a request that is known for it. */
  #counts (endpoint: string, culprits: ReadonlySet<string>, now: number): boolean {
    const end = this.#ends.get(endpoint)
    if (end?.isCertain !== true || now - end.at < SETTLING_MS) return false
    return culprits.size === 0 || ![...end.suspects.keys()].some(fingerprint => culprits.has(fingerprint))
  }

  /** Ends that are far enough from each other to have causes of their own. */
  #occasions (endpoints: readonly string[]): number {
    const times = endpoints.map(endpoint => this.#ends.get(endpoint)?.at ?? 0).sort((left, right) => left - right)
    let occasions = 0
    let last = Number.NEGATIVE_INFINITY
    for (const at of times) {
      if (at - last < ONE_OCCASION_MS) continue
      occasions += 1
      last = at
    }
    return occasions
  }

  #isCleared (fingerprint: string, now: number): boolean {
    const clearedAt = this.#clearedAt.get(fingerprint)
    return clearedAt !== undefined && now - clearedAt < CLEARED_MS
  }

  #addEnd (endpoint: string, at: number): ReportedEnd {
    const end: ReportedEnd = { at, isCertain: false, suspects: new Map() }
    this.#ends.set(endpoint, end)
    return end
  }

  #makeRoom (): void {
    while (this.#ends.size > MOST_ENDS || this.#losses > MOST_LOSSES) {
      const [oldest] = this.#ends.keys()
      if (oldest === undefined) return
      this.#dropEnd(oldest)
    }
  }

  #forgetOld (now: number): void {
    for (const [endpoint, { at }] of this.#ends) if (now - at >= EVIDENCE_MS) this.#dropEnd(endpoint)
  }

  #dropEnd (endpoint: string): void {
    for (const fingerprint of this.#ends.get(endpoint)?.suspects.keys() ?? []) {
      const suspect = this.#suspects.get(fingerprint)
      suspect?.endpoints.delete(endpoint)
      this.#losses -= 1
      if (suspect === undefined || suspect.endpoints.size > 1) continue
      this.#repeated.delete(fingerprint)
      if (suspect.endpoints.size === 0) this.#suspects.delete(fingerprint)
    }
    this.#ends.delete(endpoint)
  }
}

/** More ends first; among equals the one that endpoints survived for the shortest time. */
function compareGravity (left: Charge, right: Charge): number {
  return right.occasions - left.occasions || left.longestRunMs - right.longestRunMs
}

/** Keeps the newest entries of a bounded map. */
function remember (map: Map<string, number>, key: string, at: number): void {
  map.delete(key)
  map.set(key, at)
  const [oldest] = map.keys()
  if (map.size > MOST_REMEMBERED && oldest !== undefined) map.delete(oldest)
}
