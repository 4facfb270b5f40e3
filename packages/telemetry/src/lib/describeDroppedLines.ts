import type { ChangeEvent, ChangeFields } from './events/eventFields.js'

const EVENT = 'log-lines-dropped' satisfies ChangeEvent

/** Numeric level of `warn` in the log library. */
const WARN_LEVEL = 40

/**
 * Returns the log line that takes the place of dropped lines, in the format of all other lines. It
 * bypasses the log library, which would append it after the lines that are already buffered.
 *
 * @param program - name of the binary
 * @param count - number of lines dropped since the last such line
 * @returns the line without a line end
 */
export function describeDroppedLines (program: string, count: number): string {
  const fields: ChangeFields<typeof EVENT> = { count }
  return JSON.stringify({ context: { program, event: EVENT, ...fields, logLevel: WARN_LEVEL }, message: EVENT, time: Date.now() })
}
