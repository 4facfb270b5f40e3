/**
 * Detects endpoints that respond to no host. The host that aggregates load runs it for all hosts.
 *
 * It guards against endpoints that hang behind many hosts. With 195 hosts, each host sends a given
 * engine one request in fourteen seconds, so no host detects the failure by itself. The combined
 * observations fade as well, because the callers of the lost requests disconnect: an engine without
 * requests no longer counts as silent, receives the next dozen requests and loses them, again and
 * again. With a fifth of the engines hung, a third of all requests was lost for as long as the
 * failure lasted. The detector therefore selects endpoints that are silent to all hosts, or avoided
 * by several, for a direct probe. An endpoint that fails its probe is unresponsive for all hosts
 * until it answers a later probe or some host receives a byte from it.
 */
import type { EndpointLoad } from './loadReport.js'

/** Silence towards all hosts after which an endpoint with load is probed, in milliseconds. Hosts with load report it every 300 ms. */
const SUSPECT_SILENCE_MS = 400

/** Requests in flight from which silence is suspicious: one or two may all be waiting for their first event. */
const MIN_SUSPECT_REQUESTS = 3

/** Number of hosts avoiding an endpoint, because they could not reach it or got no answer, from which it is probed. */
const MIN_SUSPECT_AVOIDERS = 2

/** Delay before the second probe of an unresponsive endpoint, in milliseconds. It doubles with each probe, because every probe is billed. */
const INITIAL_PROBE_BACKOFF_MS = 400

/** Longest delay between probes, in milliseconds. It bounds how long a recovered endpoint stays without load. */
const MAX_PROBE_BACKOFF_MS = 1500

/** Time for which an endpoint that has answered is not probed again, in milliseconds: its requests are slow, not lost. */
const PROBE_EXEMPTION_MS = 2000

interface Suspect {
  /** Monotonic milliseconds of the first failed probe; undefined until a probe has failed. */
  unresponsiveSince: number | undefined
  probeAt: number
  backoffMs: number
  isProbing: boolean
}

/** A change in whether an endpoint responds. */
export interface ResponsivenessChange {
  readonly endpoint: string
  readonly isUnresponsive: boolean
}

/** Tracks suspected and unresponsive endpoints, and when to probe them. */
export class UnresponsiveEndpointDetector {
  readonly #suspects = new Map<string, Suspect>()
  readonly #exemptUntil = new Map<string, number>()

  /** Incarnations that respond to no host. */
  get unresponsive (): readonly string[] {
    return [...this.#suspects].filter(([, { unresponsiveSince }]) => unresponsiveSince !== undefined).map(([endpoint]) => endpoint)
  }

  /**
   * Updates the suspects from the aggregated load.
   *
   * @param work - current load of all hosts
   * @param now - monotonic milliseconds
   * @returns incarnations that respond again
   */
  observe (work: readonly EndpointLoad[], now: number): ResponsivenessChange[] {
    const changes: ResponsivenessChange[] = []
    for (const entry of work) {
      const suspect = this.#suspects.get(entry.endpoint)
      if (suspect === undefined) this.#checkEntry(entry, now)
      else if (suspect.unresponsiveSince !== undefined && now - entry.lastByteAgoMs > suspect.unresponsiveSince) changes.push(this.#clear(entry.endpoint, now))
    }
    return changes
  }

  /**
   * @param now - monotonic milliseconds
   * @returns incarnations to probe now; the caller reports each result with {@link recordProbeResult}
   */
  takeDueProbes (now: number): string[] {
    const due = [...this.#suspects].filter(([, { probeAt, isProbing }]) => !isProbing && probeAt <= now)
    for (const [, suspect] of due) suspect.isProbing = true
    return due.map(([endpoint]) => endpoint)
  }

  /**
   * Records the result of a probe.
   *
   * @param endpoint - incarnation that was probed
   * @param hasAnswered - whether it gave any answer
   * @param now - monotonic milliseconds
   * @returns the resulting change, if any
   */
  recordProbeResult (endpoint: string, hasAnswered: boolean, now: number): ResponsivenessChange | undefined {
    const suspect = this.#suspects.get(endpoint)
    if (suspect === undefined) return undefined
    const wasUnresponsive = suspect.unresponsiveSince !== undefined
    if (hasAnswered) {
      const change = this.#clear(endpoint, now)
      return wasUnresponsive ? change : undefined
    }
    suspect.isProbing = false
    suspect.probeAt = now + suspect.backoffMs
    suspect.backoffMs = Math.min(MAX_PROBE_BACKOFF_MS, suspect.backoffMs * 2)
    suspect.unresponsiveSince ??= now
    return wasUnresponsive ? undefined : { endpoint, isUnresponsive: true }
  }

  /** @param isListed - whether an incarnation is still listed; the state of all others is dropped */
  retain (isListed: (endpoint: string) => boolean): void {
    for (const endpoint of this.#suspects.keys()) {
      if (!isListed(endpoint)) this.#suspects.delete(endpoint)
    }
    for (const endpoint of this.#exemptUntil.keys()) {
      if (!isListed(endpoint)) this.#exemptUntil.delete(endpoint)
    }
  }

  #checkEntry ({ endpoint, inFlight, lastByteAgoMs, waitedMs, avoiders }: EndpointLoad, now: number): void {
    const isSilent = inFlight >= MIN_SUSPECT_REQUESTS && lastByteAgoMs > SUSPECT_SILENCE_MS && waitedMs > SUSPECT_SILENCE_MS
    const isAvoided = avoiders >= MIN_SUSPECT_AVOIDERS
    if ((!isSilent && !isAvoided) || now < (this.#exemptUntil.get(endpoint) ?? Number.NEGATIVE_INFINITY)) return
    this.#suspects.set(endpoint, { unresponsiveSince: undefined, probeAt: now, backoffMs: INITIAL_PROBE_BACKOFF_MS, isProbing: false })
  }

  #clear (endpoint: string, now: number): ResponsivenessChange {
    this.#suspects.delete(endpoint)
    this.#exemptUntil.set(endpoint, now + PROBE_EXEMPTION_MS)
    return { endpoint, isUnresponsive: false }
  }
}
