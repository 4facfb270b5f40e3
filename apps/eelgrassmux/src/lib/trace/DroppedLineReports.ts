/** Reports in which processes count log lines that they did not write. */
import type { TracedLine } from './TracedLine.js'

/** Events that report a number of lines that were not written. */
const DROP_REPORT_EVENTS = ['log-lines-dropped', 'request-lines-left-out'] as const

/** Range of time, in milliseconds since the Unix epoch. */
export interface TimeRange {
  readonly from: number
  readonly to: number
}

/** Number of lines that the processes of one host did not write to a file, from reports of one event. */
export interface DroppedLines {
  readonly file: string
  readonly host: string | undefined
  readonly event: string
  readonly lines: number
}

/** Collects the reports from all log files. */
export class DroppedLineReports {
  readonly #reports: TracedLine[] = []

  /**
   * @param text - unparsed text of a line
   * @returns whether the line may contain a report
   */
  static mayContainReport (text: string): boolean {
    return DROP_REPORT_EVENTS.some(event => text.includes(event))
  }

  /** @param lines - log lines; those that are not reports are ignored */
  add (lines: readonly TracedLine[]): void {
    this.#reports.push(...lines.filter(({ event }) => DROP_REPORT_EVENTS.some(reportEvent => reportEvent === event)))
  }

  /**
   * Returns the dropped lines that may include lines of a request. A report covers the time
   * since the previous report, so the first report after the request counts as well.
   *
   * @param lines - lines of the request; if empty, all reports count
   * @param range - time during which the request was in progress
   * @returns dropped lines of the hosts that logged the request
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
