/** Whether one host reaches the endpoints of one service, and the way back after a cut. */
import type { EndpointContact } from './ContactTimes.js'
import { findCut, type CutEvidence } from './findCut.js'

/** Interval between probes while the service is partitioned, in milliseconds. It doubles each time the links fail again soon. */
const MIN_PROBE_INTERVAL_MS = 400
const MAX_PROBE_INTERVAL_MS = 1600

/** Time in which the share of requests that go to the endpoints again rises from the first to all, in milliseconds. */
const RETURN_MS = 1500

/** Share of the requests that go to the endpoints as soon as one has answered. */
const FIRST_RETURNING_SHARE = 0.1

/** Time without a further cut after which links no longer count as unstable, in milliseconds. */
const STABLE_AFTER_MS = 10_000

/** Follows the links of this host to one service. */
export class ServiceReachability {
  #cutSince: number | undefined
  #returnedAt: number | undefined
  #probeAt = Number.POSITIVE_INFINITY
  #probeIntervalMs = MIN_PROBE_INTERVAL_MS

  /** Whether the service is partitioned from this host. */
  get isCutOff (): boolean { return this.#cutSince !== undefined }

  /**
   * Looks for a cut.
   *
   * @param contacts - contact with each endpoint of the service
   * @param now - monotonic milliseconds
   * @returns the evidence if the service has just turned out to be partitioned
   */
  check (contacts: readonly EndpointContact[], now: number): CutEvidence | undefined {
    if (this.isCutOff) return undefined
    const evidence = findCut(contacts)
    if (evidence === undefined) return undefined
    const isUnstable = this.#returnedAt !== undefined && now - this.#returnedAt < STABLE_AFTER_MS
    this.#probeIntervalMs = isUnstable ? Math.min(MAX_PROBE_INTERVAL_MS, this.#probeIntervalMs * 2) : MIN_PROBE_INTERVAL_MS
    this.#cutSince = now
    this.#probeAt = now + this.#probeIntervalMs
    return evidence
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether to probe an endpoint now; the next probe is then due after the interval
   */
  takeDueProbe (now: number): boolean {
    if (!this.isCutOff || now < this.#probeAt) return false
    this.#probeAt = now + this.#probeIntervalMs
    return true
  }

  /**
   * Records that an endpoint of the service has sent this host a byte.
   *
   * @param now - monotonic milliseconds
   * @returns milliseconds for which the service was partitioned, if that has just ended
   */
  observeBytes (now: number): number | undefined {
    if (this.#cutSince === undefined) return undefined
    const cutForMs = now - this.#cutSince
    this.#cutSince = undefined
    this.#returnedAt = now
    return cutForMs
  }

  /**
   * @param now - monotonic milliseconds
   * @param random - number in [0, 1) drawn for the request
   * @returns whether a request goes to the endpoints; the others are relayed
   */
  admitsDirect (now: number, random: number): boolean {
    if (this.isCutOff) return false
    if (this.#returnedAt === undefined) return true
    const returnedFor = now - this.#returnedAt
    return returnedFor >= RETURN_MS || random < FIRST_RETURNING_SHARE + (1 - FIRST_RETURNING_SHARE) * returnedFor / RETURN_MS
  }
}
