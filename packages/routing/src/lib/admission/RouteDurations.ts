/**
 * How long requests of each route take, whole.
 *
 * Tells a stopping host which of its last requests will still end in time. Streams are
 * estimated by the tokens that their callers ask for, since lengths within a route differ
 * by a factor of ten and more.
 */
import { RecentQuantile } from './RecentQuantile.js'

/** Share of requests that take less than the estimate. */
const QUANTILE = 0.9

/** Durations of the requests of one host. */
export class RouteDurations {
  readonly #routes = new Map<string, { readonly start: RecentQuantile, readonly perToken: RecentQuantile }>()

  /**
   * Takes a request that was answered whole.
   *
   * @param route - its route
   * @param startMs - time to its first event, or to the whole answer where there are no events
   * @param restMs - time from there to the end
   * @param outputTokens - tokens asked for, 0 if unknown
   */
  record (route: string, startMs: number, restMs: number, outputTokens: number): void {
    const durations = this.#routes.get(route) ?? { start: new RecentQuantile(), perToken: new RecentQuantile() }
    this.#routes.set(route, durations)
    durations.start.add(startMs)
    durations.perToken.add(restMs / Math.max(1, outputTokens))
  }

  /**
   * @param route - route of a request
   * @param outputTokens - tokens asked for, 0 if unknown
   * @returns milliseconds within which nine in ten such requests end; undefined if none was seen
   */
  expectedMs (route: string, outputTokens: number): number | undefined {
    const durations = this.#routes.get(route)
    if (durations === undefined) return undefined
    return durations.start.quantile(QUANTILE) + durations.perToken.quantile(QUANTILE) * Math.max(1, outputTokens)
  }
}
