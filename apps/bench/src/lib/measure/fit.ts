/** Least-squares fits and percentiles of measured values. */

export interface Point {
  readonly size: number
  readonly value: number
}

/** A fitted line and the quality of the fit. */
export interface Line {
  readonly intercept: number
  readonly slope: number
  /** Coefficient of determination, R², from 0 to 1. */
  readonly fit: number
}

/**
 * Fits a line by least squares.
 *
 * @param points - points with at least two different sizes
 * @returns the fitted line
 */
export function fitLine (points: readonly Point[]): Line {
  const count = points.length
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count
  const covariance = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0)
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const slope = covariance / variance
  const intercept = meanValue - slope * meanSize
  const total = points.reduce((sum, { value }) => sum + (value - meanValue) ** 2, 0)
  const residual = points.reduce((sum, { size, value }) => sum + (value - intercept - slope * size) ** 2, 0)
  return { intercept, slope, fit: total === 0 ? 1 : 1 - residual / total }
}

/**
 * @param values - non-empty list
 * @returns the median; of an even number of values, the upper of the two middle ones
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN
}

/**
 * @param values - non-empty list
 * @param share - percentile as a share from 0 to 1
 * @returns the value at that percentile
 */
export function percentile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN
}
