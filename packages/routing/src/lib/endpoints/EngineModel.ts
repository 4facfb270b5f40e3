/**
 * Estimates the time that an engine takes to the first event of a request.
 *
 * Pools differ: one prefills the same prompt in 65 ms and another in 220 ms, and the choice
 * between prefilling a prompt and fetching it is only as good as the estimates of both. The
 * time is modelled as the sum of a fixed part, a time per token to prefill, a time per token
 * that other requests have to prefill before (urgent requests overtake some of them) and a
 * time per running request. Recursive least squares fits the coefficients, with less weight
 * on older requests. The first hundred requests of a host outweigh the initial values.
 */

/** Work that an engine had to do before a first event. */
export interface EngineLoad {
  /** Prompt tokens of the request that have to be prefilled. */
  readonly tokensToRead: number
  /** Prompt tokens of other requests that are not prefilled yet. */
  readonly tokensAhead: number
  /** Other requests at the engine. */
  readonly requests: number
}

/** Fixed milliseconds, milliseconds per thousand tokens of the request and of other requests, milliseconds per ten running requests. */
type Coefficients = readonly [fixed: number, prefill: number, ahead: number, running: number]

/** Units of the inputs, chosen so that all coefficients have a similar magnitude. */
const TOKENS_UNIT = 1000
const REQUESTS_UNIT = 10

/**
 * Initial estimate: 55 ms to a first event, 80 tokens prefilled in a millisecond, and 60 ms
 * more where ten requests run.
 */
const INITIAL_COEFFICIENTS: Coefficients = [55, 12.5, 12.5, 60]

/** How far a pool may be from the initial estimate, as standard deviations in the same units. */
const INITIAL_DEVIATIONS: Coefficients = [20, 8, 8, 30]

/** Bounds of the coefficients: 20 to 500 tokens a millisecond, and up to 15 ms for a running request. */
const MIN_COEFFICIENTS: Coefficients = [5, 2, 0, 0]
const MAX_COEFFICIENTS: Coefficients = [300, 50, 50, 150]

/** Standard deviation of one request from the fit, in milliseconds, which comes from work that arrives at the same moment. */
const NOISE_DEVIATION_MS = 60

/** Larger residuals are clipped to this, in milliseconds: an engine that fails or stalls says nothing about engine speed. */
const MAX_RESIDUAL_MS = 120

/** Factor by which the weight of a request falls with each later one; some 200 requests make up the fit. */
const FORGETTING_FACTOR = 0.995

/** Fitted model of the engines of one service. */
export class EngineModel {
  #coefficients: Coefficients = INITIAL_COEFFICIENTS
  /** Covariance of the coefficients, by rows. */
  #covariance: number[][] = INITIAL_DEVIATIONS.map((deviation, row) => INITIAL_COEFFICIENTS.map((_, column) => row === column ? deviation ** 2 : 0))

  /**
   * Updates the fit with the first event of a request.
   *
   * @param load - work that the engine had to do before the event
   * @param milliseconds - time that it took; a request with a figure that is not finite is ignored
   */
  observe (load: EngineLoad, milliseconds: number): void {
    const input = toInput(load)
    if (!Number.isFinite(milliseconds) || !input.every(Number.isFinite)) return
    const residual = milliseconds - dot(this.#coefficients, input)
    const boundedResidual = Math.min(MAX_RESIDUAL_MS, Math.max(-MAX_RESIDUAL_MS, residual))
    const inputCovariance = this.#covariance.map(row => dot(row, input))
    const scale = FORGETTING_FACTOR * NOISE_DEVIATION_MS ** 2 + dot(inputCovariance, input)
    const gain = inputCovariance.map(value => value / scale)
    this.#coefficients = clampCoefficients(this.#coefficients.map((value, index) => value + (gain[index] ?? 0) * boundedResidual))
    this.#covariance = this.#covariance.map((row, index) => row.map((value, column) => {
      const updated = (value - (gain[index] ?? 0) * (inputCovariance[column] ?? 0)) / FORGETTING_FACTOR
      return index === column ? Math.min(updated, (INITIAL_DEVIATIONS[index] ?? 0) ** 2) : updated
    }))
  }

  /** Fixed part of the time to a first event, in milliseconds. */
  get fixedMs (): number { return this.#coefficients[0] }

  /** Prompt tokens prefilled in a millisecond. */
  get tokensPerMs (): number { return TOKENS_UNIT / this.#coefficients[1] }

  /**
   * @param tokens - tokens of the request to prefill
   * @returns milliseconds that the prefill takes
   */
  prefillMs (tokens: number): number {
    return tokens / this.tokensPerMs
  }

  /**
   * @param load - load of an engine, without the tokens of the request itself
   * @returns milliseconds by which other requests delay the first event
   */
  waitMs ({ tokensAhead, requests }: Omit<EngineLoad, 'tokensToRead'>): number {
    return tokensAhead / TOKENS_UNIT * this.#coefficients[2] + requests / REQUESTS_UNIT * this.#coefficients[3]
  }
}

function toInput ({ tokensToRead, tokensAhead, requests }: EngineLoad): Coefficients {
  return [1, tokensToRead / TOKENS_UNIT, tokensAhead / TOKENS_UNIT, requests / REQUESTS_UNIT]
}

function dot (one: readonly number[], other: readonly number[]): number {
  return one.reduce((sum, value, index) => sum + value * (other[index] ?? 0), 0)
}

function clampCoefficients (values: readonly number[]): Coefficients {
  const at = (index: 0 | 1 | 2 | 3): number => Math.min(MAX_COEFFICIENTS[index], Math.max(MIN_COEFFICIENTS[index], values[index] ?? 0))
  return [at(0), at(1), at(2), at(3)]
}
