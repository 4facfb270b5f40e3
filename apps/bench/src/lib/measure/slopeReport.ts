/** One line for each slope, with its fit and the points behind it. */
import { fitLine, type Point } from './fit.js'

/** Takes a slope that was measured. */
export type SlopeReporter = (name: string, unit: string, points: readonly Point[]) => void

/** @param print - takes each line */
export function slopeReport (print: (line: string) => void): SlopeReporter {
  return (name, unit, points) => {
    const { slope, intercept, fit } = fitLine(points)
    const sizes = points.map(({ size, value }) => `${size}:${value.toPrecision(4)}`).join(' ')
    print(`slope ${name}: ${slope.toPrecision(4)} ${unit}, intercept ${intercept.toPrecision(4)}, fit ${fit.toFixed(4)} (${sizes})`)
  }
}
