/**
 * Endpoints that answer nobody, found for all hosts by the one that adds up.
 *
 * Answers the load in which endpoints go dark before many hosts. Each of 195 hosts sends a given
 * engine a request every fourteen seconds, so none finds out by itself; and what all have seen fades
 * as the callers of the lost requests leave: seen alone, an engine without requests is not silent, gets
 * the next dozen, and loses them too, over and over (of a day's requests in the seconds after a
 * fifth of the engines went dark a third was lost, for as long as that lasted). So who is silent to
 * all, or avoided by several, is asked directly; without an answer it is unresponsive to all hosts, and
 * stays so until it answers such a question or some host hears a byte from it.
 */
import type { EndpointLoad } from './loadReport.js'

/** Silence towards all hosts after which an endpoint with work is asked, in milliseconds: hosts with work tell of it every 300. */
const SUSPECT_MS = 400

/** Requests under way that make silence count: one or two may all be waiting for their first event. */
const SUSPECT_REQUESTS = 3

/** Hosts that could not reach an endpoint, or got no answer, from which on it is asked. */
const SUSPECT_AVOIDERS = 2

/** First pause before an unresponsive endpoint is asked again, in milliseconds; it doubles. Each question is priced. */
const FIRST_PAUSE_MS = 400

/** Longest pause, in milliseconds: for so long at most an endpoint that is back does without work. */
const LONGEST_PAUSE_MS = 1500

/** Time for which an endpoint that has answered is not asked again, in milliseconds: its requests are slow, and not lost. */
const TRUSTED_MS = 2000

interface Suspect {
  /** Undefined until a question has had no answer. */
  unresponsiveSince: number | undefined
  askAt: number
  pauseMs: number
  isAsked: boolean
}

/** What was found out. */
export interface ResponsivenessChange {
  readonly endpoint: string
  readonly isUnresponsive: boolean
}

/** Who is suspected, and who does not respond. */
export class UnresponsiveEndpointDetector {
  readonly #suspects = new Map<string, Suspect>()
  readonly #trustedUntil = new Map<string, number>()

  /** Incarnations that respond to nobody. */
  get unresponsive (): readonly string[] {
    return [...this.#suspects].filter(([, { unresponsiveSince }]) => unresponsiveSince !== undefined).map(([endpoint]) => endpoint)
  }

  /**
   * @param work - of all hosts, as of now
   * @param now - monotonic milliseconds
   * @returns incarnations that are heard again
   */
  observe (work: readonly EndpointLoad[], now: number): ResponsivenessChange[] {
    const changes: ResponsivenessChange[] = []
    for (const entry of work) {
      const suspect = this.#suspects.get(entry.endpoint)
      if (suspect === undefined) this.#suspect(entry, now)
      else if (suspect.unresponsiveSince !== undefined && now - entry.lastByteAgoMs > suspect.unresponsiveSince) changes.push(this.#clear(entry.endpoint, now))
    }
    return changes
  }

  /**
   * @param now - monotonic milliseconds
   * @returns incarnations to be asked now; each has to be settled
   */
  takeDueProbes (now: number): string[] {
    const due = [...this.#suspects].filter(([, { askAt, isAsked }]) => !isAsked && askAt <= now)
    for (const [, suspect] of due) suspect.isAsked = true
    return due.map(([endpoint]) => endpoint)
  }

  /**
   * Takes the outcome of a question.
   *
   * @param endpoint - incarnation that was asked
   * @param hasAnswered - whether it gave any answer
   * @param now - monotonic milliseconds
   * @returns what that changes
   */
  recordProbeResult (endpoint: string, hasAnswered: boolean, now: number): ResponsivenessChange | undefined {
    const suspect = this.#suspects.get(endpoint)
    if (suspect === undefined) return undefined
    const wasUnresponsive = suspect.unresponsiveSince !== undefined
    if (hasAnswered) {
      const change = this.#clear(endpoint, now)
      return wasUnresponsive ? change : undefined
    }
    suspect.isAsked = false
    suspect.askAt = now + suspect.pauseMs
    suspect.pauseMs = Math.min(LONGEST_PAUSE_MS, suspect.pauseMs * 2)
    suspect.unresponsiveSince ??= now
    return wasUnresponsive ? undefined : { endpoint, isUnresponsive: true }
  }

  /** @param isListed - whether an incarnation is still listed; others are forgotten */
  retain (isListed: (endpoint: string) => boolean): void {
    for (const endpoint of this.#suspects.keys()) {
      if (!isListed(endpoint)) this.#suspects.delete(endpoint)
    }
    for (const endpoint of this.#trustedUntil.keys()) {
      if (!isListed(endpoint)) this.#trustedUntil.delete(endpoint)
    }
  }

  #suspect ({ endpoint, inFlight, lastByteAgoMs, waitedMs, avoiders }: EndpointLoad, now: number): void {
    const isSilent = inFlight >= SUSPECT_REQUESTS && lastByteAgoMs > SUSPECT_MS && waitedMs > SUSPECT_MS
    const isAvoided = avoiders >= SUSPECT_AVOIDERS
    if ((!isSilent && !isAvoided) || now < (this.#trustedUntil.get(endpoint) ?? Number.NEGATIVE_INFINITY)) return
    this.#suspects.set(endpoint, { unresponsiveSince: undefined, askAt: now, pauseMs: FIRST_PAUSE_MS, isAsked: false })
  }

  #clear (endpoint: string, now: number): ResponsivenessChange {
    this.#suspects.delete(endpoint)
    this.#trustedUntil.set(endpoint, now + TRUSTED_MS)
    return { endpoint, isUnresponsive: false }
  }
}
