/** What processes said of lines that they did not write. */
import type { TracedLine } from './TracedLine.js'

/** Events of lines that count lines not written. */
const DROP_REPORT_EVENTS = ['log-lines-dropped', 'request-lines-left-out'] as const

/** From when to when something happened, in milliseconds since 1970. */
export interface TimeRange {
  readonly from: number
  readonly to: number
}

/** Lines of one process that were not written. */
export interface DroppedLines {
  readonly file: string
  readonly host: string | undefined
  readonly event: string
  readonly lines: number
}

/** Collects the reports of all processes. */
export class DroppedLineReports {
  readonly #reports: TracedLine[] = []

  /**
   * @param text - text of a line
   * @returns whether it may hold a report
   */
  static mayContainReport (text: string): boolean {
    return DROP_REPORT_EVENTS.some(event => text.includes(event))
  }

  /** @param lines - lines that may be reports */
  add (lines: readonly TracedLine[]): void {
    this.#reports.push(...lines.filter(({ event }) => DROP_REPORT_EVENTS.some(reportEvent => reportEvent === event)))
  }

  /**
   * Losses that a request may have part in. A report covers what was lost since the one
   * before, so the first one after the request counts as well.
   *
   * @param lines - the request's; none if it was not found, so that all reports count
   * @param range - when it was there
   * @returns losses of the hosts that it met
   */
  affecting (lines: readonly TracedLine[], range: TimeRange): DroppedLines[] {
    const hosts = new Set(lines.map(hostKey))
    const droppedByKey = new Map<string, DroppedLines>()
    const completedKeys = new Set<string>()
    for (const report of this.#reports) {
      const key = JSON.stringify([hostKey(report), report.event])
      if (lines.length > 0 && (!hosts.has(hostKey(report)) || report.time < range.from || completedKeys.has(key))) continue
      if (report.time > range.to) completedKeys.add(key)
      const { file, host, event, fields } = report
      droppedByKey.set(key, { file, host, event, lines: (droppedByKey.get(key)?.lines ?? 0) + Number(fields['count'] ?? 0) })
    }
    return [...droppedByKey.values()]
  }
}

function hostKey ({ file, host }: TracedLine): string {
  return JSON.stringify([file, host])
}
