/** Straight lines through measured points. */

/** A measured point. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** A straight line and how well it fits. */
export interface Line {
  readonly intercept: number
  readonly slope: number
  /** Share of the variance that the line explains, 0 to 1. */
  readonly fit: number
}

/**
 * Fits a line by least squares.
 *
 * @param points - at least two sizes
 * @returns the line
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
 * @param values - at least one
 * @returns the middle one
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN
}

/**
 * @param values - at least one
 * @param share - from 0 to 1
 * @returns the value below which that share lies
 */
export function percentile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN
}
