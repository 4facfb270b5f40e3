/** Prints one line for each slope, with its fit and the measured points. */
import { fitLine, type Point } from './fit.js'

/** Reports a measured slope. */
export type SlopeReporter = (name: string, unit: string, points: readonly Point[]) => void

/**
 * @param print - prints a line of the report
 * @returns a function that fits and prints a slope
 */
export function slopeReport (print: (line: string) => void): SlopeReporter {
  return (name, unit, points) => {
    const { slope, intercept, fit } = fitLine(points)
    const sizes = points.map(({ size, value }) => `${size}:${value.toPrecision(4)}`).join(' ')
    print(`slope ${name}: ${slope.toPrecision(4)} ${unit}, intercept ${intercept.toPrecision(4)}, fit ${fit.toFixed(4)} (${sizes})`)
  }
}
