/**
 * Predicts the pause between two events of a stream that runs at an engine of one service.
 *
 * An event is several tokens, each of which takes a step of the engine. While prompts are prefilled, each step takes
 * longer by one chunk, so a pause grows by the time of the prefill that is left, until this suffices for all steps of
 * an event, and no further. Hosts know neither the steps of an event nor the size of a chunk. The model therefore learns
 * from the events of running streams:
 * - the pause without prefill, as a line over the running requests,
 * - the share of the prefill time that a pause grows by, because some prompts that hosts count as pending are prefilled already,
 * - the longest increase,
 * - how far pauses with prefill are from the prediction, because machines become slow and prompts arrive meanwhile.
 */
import { PauseDistribution } from './PauseDistribution.js'

/** Load of an engine that determines the pauses of its streams. */
export interface StreamConditions {
  /** Time that the engine needs to prefill the prompts that it has, in milliseconds. */
  readonly prefillMs: number
  /** Requests at the engine. */
  readonly requests: number
}

/** Pauses that exceed a limit. */
export interface PauseExcess {
  /** Probability that a pause exceeds the limit. */
  readonly probability: number
  /** Expected time by which a pause exceeds the limit, in milliseconds; pauses within the limit count as 0. */
  readonly excessMs: number
}

/** No excess, which is also assumed while nothing is known. */
const NO_EXCESS: PauseExcess = { probability: 0, excessMs: 0 }

/** Prefill time up to which a pause counts as being without prefill, in milliseconds: one step of an engine. */
const NO_PREFILL_MS = 4

/** Events without prefill from which predictions are made. */
const MIN_SAMPLES = 10

/** Longest increase before one was seen, in milliseconds: ten steps with a chunk of 40 ms each. With less, hosts with few streams learn it too late. */
const INITIAL_LONGEST_INCREASE_MS = 400

/** Quantile of the increases under much prefill that counts as the longest one; the longest of all come from machines that are slow unnoticed. */
const LONGEST_INCREASE_QUANTILE = 0.9

/** Prefill time as a share of the longest increase from which an event tells about it. */
const MUCH_PREFILL_SHARE = 0.5

/** Relative change of the longest increase with one event. */
const QUANTILE_STEP = 0.2

/** Weight of the assumption that a pause grows by the whole prefill time, as that of an event with this increase, in milliseconds. */
const PRIOR_INCREASE_MS = 200

/** Factor by which the weight of an event falls with each later one; some 200 events make up a fit. */
const FORGETTING_FACTOR = 0.995

/** Pauses of streams at the engines of one service, at the usual pace of machines. */
export class StreamPaceModel {
  readonly #baseline = new ForgettingLine()
  readonly #errors = new PauseDistribution()
  #longestIncreaseMs = INITIAL_LONGEST_INCREASE_MS
  #growth = { product: PRIOR_INCREASE_MS ** 2, squares: PRIOR_INCREASE_MS ** 2 }

  /** Whether enough events were seen for predictions. */
  get isKnown (): boolean { return this.#baseline.samples >= MIN_SAMPLES }

  /**
   * @param conditions - load of the engine during the pause
   * @param pauseMs - time between two events, divided by the pace of the engine's machine
   */
  observe (conditions: StreamConditions, pauseMs: number): void {
    const { prefillMs, requests } = conditions
    if (prefillMs <= NO_PREFILL_MS) {
      this.#baseline.observe(requests, pauseMs)
    } else if (this.isKnown) {
      this.#errors.observe(pauseMs / this.pauseMs(conditions))
      this.#observeIncrease(prefillMs, Math.max(0, pauseMs - this.#baseline.at(requests)))
    }
  }

  /**
   * @param conditions - load of the engine
   * @returns typical pause at the usual pace of machines, in milliseconds; 0 while nothing is known
   */
  pauseMs ({ prefillMs, requests }: StreamConditions): number {
    if (!this.isKnown) return 0
    return this.#baseline.at(requests) + this.#growth.product / this.#growth.squares * Math.min(prefillMs, this.#longestIncreaseMs)
  }

  /**
   * @param conditions - load of the engine
   * @param limitMs - longest pause that counts as on time
   * @param pace - how many times as long as usual work takes on the engine's machine
   */
  excess (conditions: StreamConditions, limitMs: number, pace: number): PauseExcess {
    const predictedMs = this.pauseMs(conditions) * pace
    if (predictedMs === 0) return NO_EXCESS
    const { share, excess } = this.#errors.tailAbove(limitMs / predictedMs)
    return { probability: share, excessMs: excess * predictedMs }
  }

  #observeIncrease (prefillMs: number, increaseMs: number): void {
    if (prefillMs >= this.#longestIncreaseMs * MUCH_PREFILL_SHARE) {
      const isLonger = increaseMs > this.#longestIncreaseMs
      this.#longestIncreaseMs *= 1 + QUANTILE_STEP * (isLonger ? LONGEST_INCREASE_QUANTILE : LONGEST_INCREASE_QUANTILE - 1)
    }
    const possibleMs = Math.min(prefillMs, this.#longestIncreaseMs)
    const { product, squares } = this.#growth
    this.#growth = {
      product: product * FORGETTING_FACTOR + possibleMs * Math.min(increaseMs, 2 * possibleMs),
      squares: squares * FORGETTING_FACTOR + possibleMs ** 2
    }
  }
}

/** Unit of the running requests in the fit, so that its coefficients have a similar magnitude. */
const REQUESTS_UNIT = 10

/** Weight of a slope of 0 in the fit, in events; it decides the slope while all events come from the same number of requests. */
const ZERO_SLOPE_WEIGHT = 1

/** Least pause without prefill, in milliseconds, so that ratios to it are bounded. */
const MIN_BASELINE_MS = 1

/** Least-squares line over the running requests, with less weight on older events. */
class ForgettingLine {
  samples = 0
  #weight = 0
  #sum = { requests: 0, squares: 0, pause: 0, product: 0 }
  #slope = 0

  observe (requests: number, pauseMs: number): void {
    const x = requests / REQUESTS_UNIT
    const { requests: sum, squares, pause, product } = this.#sum
    this.samples += 1
    this.#weight = this.#weight * FORGETTING_FACTOR + 1
    this.#sum = {
      requests: sum * FORGETTING_FACTOR + x, squares: squares * FORGETTING_FACTOR + x * x, pause: pause * FORGETTING_FACTOR + pauseMs, product: product * FORGETTING_FACTOR + x * pauseMs
    }
    const variance = this.#sum.squares - this.#sum.requests ** 2 / this.#weight
    const covariance = this.#sum.product - this.#sum.requests * this.#sum.pause / this.#weight
    this.#slope = Math.max(0, covariance / (variance + ZERO_SLOPE_WEIGHT))
  }

  at (requests: number): number {
    const mean = this.#sum.pause / Math.max(1, this.#weight)
    return Math.max(MIN_BASELINE_MS, mean + this.#slope * (requests / REQUESTS_UNIT - this.#sum.requests / Math.max(1, this.#weight)))
  }
}
