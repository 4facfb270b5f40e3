/** Formats traced lines as text for operators. */
import type { TracedLine } from './TracedLine.js'

/** Marks a line that does not belong to the request itself. */
const CONTEXT_LINE_MARK = '~'

/** Matches values that need no quotes. */
const UNQUOTED_VALUE = /^[^\s"=]+$/

/**
 * @param lines - traced lines in order of time
 * @param requestId - id of the traced request
 * @returns one text line for each: time, milliseconds since the first line of the request, host and position, program, event, fields
 */
export function formatLines (lines: readonly TracedLine[], requestId: string): string[] {
  const start = lines.find(({ time, request }) => request === requestId && !Number.isNaN(time))?.time ?? 0
  const rows = lines.map(line => [
    Number.isNaN(line.time) ? '-' : new Date(line.time).toISOString(),
    Number.isNaN(line.time) ? '-' : formatOffset(line.time - start),
    [line.host, `${line.file}:${line.lineNumber}`].filter(part => part !== undefined).join(' '),
    line.program,
    `${line.request === requestId ? ' ' : CONTEXT_LINE_MARK}${line.event}`
  ])
  const widths = rows.reduce((widest, row) => row.map((cell, column) => Math.max(cell.length, widest[column] ?? 0)), [] as number[])
  return rows.map((row, position) => {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
    return `${cells.join('  ')}  ${formatOtherRequest(lines[position], requestId)}${formatFields(lines[position]?.fields ?? {})}`.trimEnd()
  })
}

/** Returns the id of the line's request, if that is another request than the traced one. */
function formatOtherRequest (line: TracedLine | undefined, requestId: string): string {
  return line?.request === undefined || line.request === requestId ? '' : `request=${formatValue(line.request)} `
}

function formatOffset (milliseconds: number): string {
  return milliseconds < 0 ? String(milliseconds) : `+${milliseconds}`
}

function formatFields (fields: TracedLine['fields']): string {
  return Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`).join(' ')
}

function formatValue (value: string | number | boolean): string {
  return typeof value === 'string' && !UNQUOTED_VALUE.test(value) ? JSON.stringify(value) : String(value)
}
