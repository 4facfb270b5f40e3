import type { ChangeEvent, ChangeFields } from './events/eventFields.js'

const EVENT = 'log-lines-dropped' satisfies ChangeEvent

/** Level of `warn` in the log library. */
const WARN_LEVEL = 40

/**
 * Makes the line that stands where lines were dropped, in the form of all others. It
 * can't go through the log library, which would put it behind the lines that wait.
 *
 * @param program - name of the binary
 * @param count - lines dropped since the last such line
 * @returns the line without an end
 */
export function describeDroppedLines (program: string, count: number): string {
  const fields: ChangeFields<typeof EVENT> = { count }
  return JSON.stringify({ context: { program, event: EVENT, ...fields, logLevel: WARN_LEVEL }, message: EVENT, time: Date.now() })
}
