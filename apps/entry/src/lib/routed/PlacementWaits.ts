/** Delayed placement of a request that no endpoint can take at the moment, for lack of memory or because all are held back. */
import type { EndpointChoice, NoEndpointReason } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'

/** Interval at which a request that waits for engine memory is placed again, in milliseconds; an engine makes about ten decoding steps in that time. */
const MEMORY_RETRY_INTERVAL_MS = 40

/** Interval at which a request is placed again that waits for bytes in transit to endpoints, in milliseconds; a body of 256 KiB takes longer on a link of 20 Mbit/s. */
const TRANSIT_RETRY_INTERVAL_MS = 40

/** Shortest delay before a request is placed again after all endpoints were held back, in milliseconds. */
const MIN_HELD_BACK_RETRY_INTERVAL_MS = 60

/** Shortest delay before a stream that has begun is placed again to be resumed, in milliseconds. */
const MIN_RESUME_RETRY_INTERVAL_MS = 100

/** Reasons that cease to apply after a time. */
const TEMPORARY_REASONS: ReadonlySet<NoEndpointReason> = new Set(['all-cold', 'all-rate-limited', 'all-asked-to-pause', 'all-brittle', 'all-held-back'])

/**
 * @param reason - why no endpoint was chosen
 * @returns whether some endpoint is only held back from this host temporarily
 */
export function isHeldBack (reason: NoEndpointReason): boolean {
  return TEMPORARY_REASONS.has(reason)
}

/** Callbacks to the task of the request. */
export interface PlacementWaitsPorts {
  /** Chooses an endpoint again. */
  retryPlacement (): void
  /** Logs that the request waits for engine memory. */
  logWait (details: DecisionFields<'waits-for-room'>): void
  /** Logs that the stream waits for an endpoint that can resume it. */
  logResumption (details: DecisionFields<'waits-to-resume'>): void
}

/** Schedules the next placement of a request, as long as it could still be answered in time. */
export class PlacementWaits {
  #hasWaitedForMemory = false
  #hasWaitedToResume = false
  #resumption: { readonly timer: NodeJS.Timeout, readonly run: () => void } | undefined

  /** @param ports - callbacks to the task of the request */
  constructor (private readonly ports: PlacementWaitsPorts) {}

  /** @param choice - best engine, which has no memory for the request or too much to prefill at the moment */
  waitForMemory ({ endpoint, memoryShare, tokensHeld, load, delayedStreams }: EndpointChoice): void {
    if (!this.#hasWaitedForMemory) {
      this.ports.logWait({
        endpoint: endpoint.id,
        memoryShare: Number(memoryShare.toFixed(2)),
        tokensHeld: Math.round(tokensHeld),
        tokensAhead: Math.round(load.tokensAhead),
        ...(delayedStreams === undefined ? {} : { delayedStreams: Number(delayedStreams.toFixed(2)) })
      })
    }
    this.#hasWaitedForMemory = true
    setTimeout(() => { this.ports.retryPlacement() }, MEMORY_RETRY_INTERVAL_MS)
  }

  /**
   * Waits while too many bytes are in transit to all endpoints that the request may use.
   *
   * @param until - how long the caller waits, in monotonic milliseconds
   * @returns false without waiting if the caller's time would be over by then
   */
  waitForTransit (until: number): boolean {
    if (performance.now() + TRANSIT_RETRY_INTERVAL_MS >= until) return false
    setTimeout(() => { this.ports.retryPlacement() }, TRANSIT_RETRY_INTERVAL_MS)
    return true
  }

  /**
   * Waits while all endpoints that the request may use are held back.
   *
   * @param until - earliest time at which one is released, in monotonic milliseconds
   * @param waitsUntil - until when the request may wait, in monotonic milliseconds
   * @returns false without waiting if the request may not wait that long
   */
  waitForRelease (until: number, waitsUntil: number): boolean {
    const now = performance.now()
    if (Math.max(now, until) >= waitsUntil) return false
    setTimeout(() => { this.ports.retryPlacement() }, Math.max(MIN_HELD_BACK_RETRY_INTERVAL_MS, until - now))
    return true
  }

  /**
   * Waits to resume a stream that has begun, unless its caller will have disconnected or its deadline will have passed by then.
   *
   * @param until - earliest time at which it can be resumed, in monotonic milliseconds
   * @param callerTimeoutAt - when the caller disconnects, in monotonic milliseconds
   * @param onRetry - called after the wait; chooses an endpoint again by default
   * @returns false without waiting if the caller would have disconnected by then
   */
  waitToResume (until: number, callerTimeoutAt: number, onRetry: () => void = () => { this.ports.retryPlacement() }): boolean {
    const now = performance.now()
    const at = Math.max(now + MIN_RESUME_RETRY_INTERVAL_MS, until)
    if (at >= callerTimeoutAt) return false
    if (!this.#hasWaitedToResume) this.ports.logResumption({ waitMs: Math.round(at - now), patienceMs: Math.round(callerTimeoutAt - now) })
    this.#hasWaitedToResume = true
    const run = (): void => {
      this.#resumption = undefined
      onRetry()
    }
    this.#resumption = { timer: setTimeout(run, at - now), run }
    return true
  }

  /** Ends the wait of a stream that waits to be resumed. */
  resumeNow (): void {
    clearTimeout(this.#resumption?.timer)
    this.#resumption?.run()
  }
}
