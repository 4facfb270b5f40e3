/** Streams that run at an endpoint and whose callers limit the pause between events. */

/** Running streams with a limited pause. */
export interface StreamLimits {
  readonly streams: number
  /** Shortest of their limits, in milliseconds; infinity if there is no stream. */
  readonly shortestPauseMs: number
}

/** Limits of an endpoint without such streams. */
export const NO_STREAM_LIMITS: StreamLimits = { streams: 0, shortestPauseMs: Number.POSITIVE_INFINITY }

/** Streams of one host at one endpoint. A site has few different limits. */
export class RunningStreams {
  readonly #byLimit = new Map<number, number>()

  /** @param longestPauseMs - longest pause that counts as on time, in milliseconds; streams without a limit are not counted */
  begin (longestPauseMs: number): void {
    if (longestPauseMs > 0) this.#byLimit.set(longestPauseMs, (this.#byLimit.get(longestPauseMs) ?? 0) + 1)
  }

  /** @param longestPauseMs - limit that was passed to `begin` */
  end (longestPauseMs: number): void {
    const streams = (this.#byLimit.get(longestPauseMs) ?? 0) - 1
    if (streams > 0) this.#byLimit.set(longestPauseMs, streams)
    else this.#byLimit.delete(longestPauseMs)
  }

  /** Number of the streams, and the shortest of their limits. */
  get limits (): StreamLimits {
    if (this.#byLimit.size === 0) return NO_STREAM_LIMITS
    let [streams, shortestPauseMs] = [0, Number.POSITIVE_INFINITY]
    for (const [limit, count] of this.#byLimit) {
      streams += count
      shortestPauseMs = Math.min(shortestPauseMs, limit)
    }
    return { streams, shortestPauseMs }
  }
}
