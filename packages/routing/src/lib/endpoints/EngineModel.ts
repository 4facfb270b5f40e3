/**
 * What time an engine takes to a first event, learnt from what every request shows.
 *
 * Answers pools that differ: the same prompt takes 65 ms to read on one and 220 ms on
 * another, and a choice between reading and fetching is only as good as both times. The
 * time is taken as a fixed part, one for each token to read, one for each token that
 * others have to read before (urgent requests overtake some) and one for each running
 * request, fitted by recursive least squares, in which older requests count less. The
 * first hundred requests of a host outweigh what was assumed.
 */

/** What was to be done before a first event. */
export interface EngineLoad {
  /** Prompt tokens of the request to read. */
  readonly tokensToRead: number
  /** Prompt tokens of other requests that are not read yet. */
  readonly tokensAhead: number
  /** Other requests at the engine. */
  readonly requests: number
}

/** Fixed milliseconds, milliseconds for a thousand tokens of the request and of others, milliseconds for ten running requests. */
type Coefficients = readonly [fixed: number, reading: number, ahead: number, running: number]

/** Units in which the inputs are fitted, so that all coefficients are of one magnitude. */
const TOKENS_UNIT = 1000
const REQUESTS_UNIT = 10

/**
 * Assumed until requests say otherwise: 55 ms to a first event, 80 tokens read in a
 * millisecond, and 60 ms more where ten requests run.
 */
const ASSUMED: Coefficients = [55, 12.5, 12.5, 60]

/** How far a pool may be from that, as a standard deviation in the same units. */
const ASSUMED_DEVIATION: Coefficients = [20, 8, 8, 30]

/** Bounds of what is learnt: 20 to 500 tokens a millisecond, and up to 15 ms for a running request. */
const LEAST: Coefficients = [5, 2, 0, 0]
const MOST: Coefficients = [300, 50, 50, 150]

/** By how much one request departs from the fit, as a standard deviation in milliseconds: work that came at the same moment. */
const DEVIATION_MS = 60

/** Departures beyond this count as this, in milliseconds: an engine that fails or stands still says nothing of engines. */
const MOST_DEPARTURE_MS = 120

/** Share of its weight that an earlier request keeps at the next one: some 200 make up the fit. */
const KEPT_SHARE = 0.995

/** The fit for one service. */
export class EngineModel {
  #coefficients: Coefficients = ASSUMED
  /** Covariance of the coefficients, in rows. */
  #covariance: number[][] = ASSUMED_DEVIATION.map((deviation, row) => ASSUMED.map((_, column) => row === column ? deviation ** 2 : 0))

  /**
   * Takes a first event.
   *
   * @param load - what was to be done before it
   * @param milliseconds - that it took; figures that are not finite are left out
   */
  observe (load: EngineLoad, milliseconds: number): void {
    const input = inputOf(load)
    if (!Number.isFinite(milliseconds) || !input.every(Number.isFinite)) return
    const departure = milliseconds - dot(this.#coefficients, input)
    const bounded = Math.min(MOST_DEPARTURE_MS, Math.max(-MOST_DEPARTURE_MS, departure))
    const spread = this.#covariance.map(row => dot(row, input))
    const scale = KEPT_SHARE * DEVIATION_MS ** 2 + dot(spread, input)
    const gain = spread.map(value => value / scale)
    this.#coefficients = bound(this.#coefficients.map((value, index) => value + (gain[index] ?? 0) * bounded))
    this.#covariance = this.#covariance.map((row, index) => row.map((value, column) => {
      const updated = (value - (gain[index] ?? 0) * (spread[column] ?? 0)) / KEPT_SHARE
      return index === column ? Math.min(updated, (ASSUMED_DEVIATION[index] ?? 0) ** 2) : updated
    }))
  }

  /** Fixed part of the time to a first event, in milliseconds. */
  get fixedMs (): number { return this.#coefficients[0] }

  /** Prompt tokens read in a millisecond. */
  get tokensPerMs (): number { return TOKENS_UNIT / this.#coefficients[1] }

  /**
   * @param tokens - of a request, to read
   * @returns milliseconds
   */
  readMs (tokens: number): number {
    return tokens / this.tokensPerMs
  }

  /**
   * @param load - of an engine; the tokens of the request itself do not count
   * @returns milliseconds by which other requests put off the first event
   */
  waitMs ({ tokensAhead, requests }: Omit<EngineLoad, 'tokensToRead'>): number {
    return tokensAhead / TOKENS_UNIT * this.#coefficients[2] + requests / REQUESTS_UNIT * this.#coefficients[3]
  }
}

function inputOf ({ tokensToRead, tokensAhead, requests }: EngineLoad): Coefficients {
  return [1, tokensToRead / TOKENS_UNIT, tokensAhead / TOKENS_UNIT, requests / REQUESTS_UNIT]
}

function dot (one: readonly number[], other: readonly number[]): number {
  return one.reduce((sum, value, index) => sum + value * (other[index] ?? 0), 0)
}

function bound (values: readonly number[]): Coefficients {
  const at = (index: 0 | 1 | 2 | 3): number => Math.min(MOST[index], Math.max(LEAST[index], values[index] ?? 0))
  return [at(0), at(1), at(2), at(3)]
}
