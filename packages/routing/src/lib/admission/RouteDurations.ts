/**
 * Predicts how long a whole request of each route takes.
 *
 * A host that is stopping uses this to decide which of its last requests will still end in time.
 * The prediction for streams uses the number of tokens that their callers ask for, because
 * lengths within a route differ by a factor of ten and more.
 */
import { RecentQuantile } from './RecentQuantile.js'

/** Share of requests that take less time than predicted. */
const QUANTILE = 0.9

/** Durations of the requests of one host, by route. */
export class RouteDurations {
  readonly #routes = new Map<string, { readonly start: RecentQuantile, readonly perToken: RecentQuantile }>()

  /**
   * Records a request that was answered completely.
   *
   * @param route - route of the request
   * @param startMs - time to its first event, or to the whole answer where there are no events
   * @param restMs - time from there to the end
   * @param outputTokens - number of tokens asked for; 0 if unknown
   */
  record (route: string, startMs: number, restMs: number, outputTokens: number): void {
    const durations = this.#routes.get(route) ?? { start: new RecentQuantile(), perToken: new RecentQuantile() }
    this.#routes.set(route, durations)
    durations.start.add(startMs)
    durations.perToken.add(restMs / Math.max(1, outputTokens))
  }

  /**
   * @param route - route of a request
   * @param outputTokens - number of tokens asked for; 0 if unknown
   * @returns milliseconds within which nine in ten such requests end; undefined if the route has none yet
   */
  expectedMs (route: string, outputTokens: number): number | undefined {
    const durations = this.#routes.get(route)
    if (durations === undefined) return undefined
    return durations.start.quantile(QUANTILE) + this.expectedRestMs(route, outputTokens)
  }

  /**
   * @param route - route of a request
   * @param outputTokens - number of tokens asked for; 0 if unknown
   * @returns milliseconds from the first event within which nine in ten such requests end; 0 if the route has none yet
   */
  expectedRestMs (route: string, outputTokens: number): number {
    return (this.#routes.get(route)?.perToken.quantile(QUANTILE) ?? 0) * Math.max(1, outputTokens)
  }
}
