/**
 * Which endpoints may get new work.
 *
 * Three sources speak: the platform's lagging list, the endpoint's own reports
 * and its answers to requests. The first that says "leaving" wins for that
 * incarnation. A list that stopped updating says nothing about life; only a
 * recent report from the endpoint itself does.
 */

/** Timing and limits. Durations are in milliseconds. */
export interface EndpointTableSettings {
  /** A report older than this is no evidence of life. */
  readonly reportLifetimeMs: number
  /** Failures in a row after which an endpoint is ejected. */
  readonly failuresToEject: number
  readonly ejectionMs: number
  readonly longestEjectionMs: number
  /** Largest share of endpoints that may be ejected at once, 0 to 1. */
  readonly ejectedShare: number
}

export const DEFAULT_ENDPOINT_SETTINGS: EndpointTableSettings = {
  reportLifetimeMs: 2000, failuresToEject: 3, ejectionMs: 1000, longestEjectionMs: 30_000, ejectedShare: 0.34
}

/** One member as the platform lists it. */
export interface ListedMember {
  readonly name: string
  readonly state: 'live' | 'leaving'
  readonly incarnation: number
}

/** Why an endpoint gets no new work; also the metric label. */
export type Ineligibility = 'leaving' | 'evacuated' | 'silent' | 'ejected' | 'asked-to-pause' | 'unknown-endpoint'

interface EndpointState {
  incarnation: number
  leaving: boolean
  reportedAt: number
  failures: number
  ejections: number
  ejectedUntil: number
  pausedUntil: number
}

/** Eligibility of all configured endpoints. */
export class EndpointTable {
  readonly #endpoints = new Map<string, EndpointState>()
  #evacuated: ReadonlySet<string> = new Set()

  /** @param settings - timing and limits */
  constructor (private readonly settings: EndpointTableSettings = DEFAULT_ENDPOINT_SETTINGS) {}

  /** @param names - endpoints of the configuration in force */
  retain (names: ReadonlySet<string>): void {
    for (const name of this.#endpoints.keys()) {
      if (!names.has(name)) this.#endpoints.delete(name)
    }
    for (const name of names) this.#stateOf(name)
  }

  /** @param members - the platform's list as last read */
  observeMemberList (members: readonly ListedMember[]): void {
    for (const member of members) {
      const state = this.#endpoints.get(member.name)
      if (state === undefined) continue
      this.#observeIncarnation(state, member.incarnation)
      if (member.state === 'leaving' && member.incarnation >= state.incarnation) state.leaving = true
    }
  }

  /**
   * Takes an endpoint's own report.
   *
   * @param name - endpoint
   * @param report - its state and incarnation
   * @param now - monotonic milliseconds
   */
  observeReport (name: string, report: { readonly leaving: boolean, readonly incarnation: number }, now: number): void {
    const state = this.#endpoints.get(name)
    if (state === undefined || report.incarnation < state.incarnation) return
    this.#observeIncarnation(state, report.incarnation)
    state.reportedAt = now
    if (report.leaving) state.leaving = true
  }

  /** @param name - endpoint that answered a request with "leaving" */
  observeLeaving (name: string): void {
    const state = this.#endpoints.get(name)
    if (state !== undefined) state.leaving = true
  }

  /**
   * @param name - endpoint that rejected a request and wants nothing more from this host for a while
   * @param milliseconds - for how long; a pause under way never becomes shorter
   * @param now - monotonic milliseconds
   */
  observePause (name: string, milliseconds: number, now: number): void {
    const state = this.#endpoints.get(name)
    if (state !== undefined) state.pausedUntil = Math.max(state.pausedUntil, now + milliseconds)
  }

  /** @param name - endpoint that served a request */
  observeSuccess (name: string): void {
    const state = this.#endpoints.get(name)
    if (state === undefined) return
    state.failures = 0
    state.ejections = 0
  }

  /**
   * Counts a failure; several in a row eject the endpoint for a growing time.
   *
   * @param name - endpoint that failed
   * @param now - monotonic milliseconds
   * @returns whether this failure ejected it
   */
  observeFailure (name: string, now: number): boolean {
    const state = this.#endpoints.get(name)
    if (state === undefined) return false
    state.failures += 1
    if (state.failures < this.settings.failuresToEject || now < state.ejectedUntil) return false
    if (!this.#mayEject(now)) return false
    const duration = Math.min(this.settings.longestEjectionMs, this.settings.ejectionMs * 2 ** state.ejections)
    state.ejections += 1
    state.failures = 0
    state.ejectedUntil = now + duration
    return true
  }

  /**
   * @param name - endpoint
   * @returns its incarnation as last heard of; 0 if nothing was heard
   */
  incarnation (name: string): number {
    return this.#endpoints.get(name)?.incarnation ?? 0
  }

  /** @returns whether the endpoint said itself, or the list did, that it is leaving */
  isLeaving (name: string): boolean {
    return this.#endpoints.get(name)?.leaving ?? false
  }

  /** @param names - endpoints in data centres that are evacuated; all others are not */
  setEvacuated (names: ReadonlySet<string>): void {
    this.#evacuated = names
  }

  /**
   * Says why an endpoint may not get new work.
   *
   * @param name - endpoint
   * @param now - monotonic milliseconds
   * @returns the reason, or undefined if it may
   */
  ineligibility (name: string, now: number): Ineligibility | undefined {
    const state = this.#endpoints.get(name)
    if (state === undefined) return 'unknown-endpoint'
    if (state.leaving) return 'leaving'
    if (this.#evacuated.has(name)) return 'evacuated'
    if (now - state.reportedAt > this.settings.reportLifetimeMs) return 'silent'
    if (now < state.ejectedUntil) return 'ejected'
    if (now < state.pausedUntil) return 'asked-to-pause'
    return undefined
  }

  /**
   * @param now - monotonic milliseconds
   * @returns endpoints that may get new work
   */
  eligible (now: number): string[] {
    return [...this.#endpoints.keys()].filter(name => this.ineligibility(name, now) === undefined)
  }

  #mayEject (now: number): boolean {
    const states = [...this.#endpoints.values()]
    const ejected = states.filter(state => now < state.ejectedUntil).length
    return ejected + 1 <= states.length * this.settings.ejectedShare
  }

  #observeIncarnation (state: EndpointState, incarnation: number): void {
    if (incarnation <= state.incarnation) return
    state.incarnation = incarnation
    state.leaving = false
    state.failures = 0
    state.ejectedUntil = Number.NEGATIVE_INFINITY
    state.pausedUntil = Number.NEGATIVE_INFINITY
  }

  #stateOf (name: string): EndpointState {
    const present = this.#endpoints.get(name)
    if (present !== undefined) return present
    const fresh = {
      incarnation: 0,
      leaving: false,
      reportedAt: Number.NEGATIVE_INFINITY,
      failures: 0,
      ejections: 0,
      ejectedUntil: Number.NEGATIVE_INFINITY,
      pausedUntil: Number.NEGATIVE_INFINITY
    }
    this.#endpoints.set(name, fresh)
    return fresh
  }
}
