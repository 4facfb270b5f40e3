/** Traced lines as text for people. */
import type { TracedLine } from './TracedLine.js'

/** Marks a line that is not of the request itself. */
const AROUND_MARK = '~'

/** Words that need no quotes. */
const PLAIN = /^[^\s"=]+$/

/**
 * @param lines - in order
 * @param requestId - of the request that is traced
 * @returns a text line for each: time, milliseconds from the request's first one, where it stands, program, event, fields
 */
export function describeLines (lines: readonly TracedLine[], requestId: string): string[] {
  const start = lines.find(({ time, request }) => request === requestId && !Number.isNaN(time))?.time ?? 0
  const rows = lines.map(line => [
    Number.isNaN(line.time) ? '-' : new Date(line.time).toISOString(),
    Number.isNaN(line.time) ? '-' : describeDistance(line.time - start),
    [line.host, `${line.file}:${line.lineNumber}`].filter(part => part !== undefined).join(' '),
    line.program,
    `${line.request === requestId ? ' ' : AROUND_MARK}${line.event}`
  ])
  const widths = rows.reduce((most, row) => row.map((cell, column) => Math.max(cell.length, most[column] ?? 0)), [] as number[])
  return rows.map((row, position) => {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
    return `${cells.join('  ')}  ${describeOwner(lines[position], requestId)}${describeFields(lines[position]?.fields ?? {})}`.trimEnd()
  })
}

/** Whose line it is, if it is another request's. */
function describeOwner (line: TracedLine | undefined, requestId: string): string {
  return line?.request === undefined || line.request === requestId ? '' : `request=${describeValue(line.request)} `
}

function describeDistance (milliseconds: number): string {
  return milliseconds < 0 ? String(milliseconds) : `+${milliseconds}`
}

function describeFields (fields: TracedLine['fields']): string {
  return Object.entries(fields).map(([name, value]) => `${name}=${describeValue(value)}`).join(' ')
}

function describeValue (value: string | number | boolean): string {
  return typeof value === 'string' && !PLAIN.test(value) ? JSON.stringify(value) : String(value)
}
