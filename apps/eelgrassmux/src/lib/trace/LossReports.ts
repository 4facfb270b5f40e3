/** What processes said of lines that they did not write. */
import type { TracedLine } from './TracedLine.js'

/** Events of lines that count lines not written. */
const LOSS_EVENTS = ['log-lines-dropped', 'request-lines-left-out'] as const

/** From when to when something happened, in milliseconds since 1970. */
export interface Span {
  readonly from: number
  readonly to: number
}

/** Lines of one process that were not written. */
export interface Loss {
  readonly file: string
  readonly host: string | undefined
  readonly event: string
  readonly lines: number
}

/** Collects the reports of all processes. */
export class LossReports {
  readonly #reports: TracedLine[] = []

  /**
   * @param text - text of a line
   * @returns whether it may hold a report
   */
  static mayHold (text: string): boolean {
    return LOSS_EVENTS.some(event => text.includes(event))
  }

  /** @param lines - lines that may be reports */
  add (lines: readonly TracedLine[]): void {
    this.#reports.push(...lines.filter(({ event }) => LOSS_EVENTS.some(loss => loss === event)))
  }

  /**
   * Losses that a request may have part in. A report covers what was lost since the one
   * before, so the first one after the request counts as well.
   *
   * @param lines - the request's; none if it was not found, so that all reports count
   * @param span - when it was there
   * @returns losses of the hosts that it met
   */
  near (lines: readonly TracedLine[], span: Span): Loss[] {
    const hosts = new Set(lines.map(hostOf))
    const losses = new Map<string, Loss>()
    const isCovered = new Set<string>()
    for (const report of this.#reports) {
      const key = JSON.stringify([hostOf(report), report.event])
      if (lines.length > 0 && (!hosts.has(hostOf(report)) || report.time < span.from || isCovered.has(key))) continue
      if (report.time > span.to) isCovered.add(key)
      const { file, host, event, fields } = report
      losses.set(key, { file, host, event, lines: (losses.get(key)?.lines ?? 0) + Number(fields['count'] ?? 0) })
    }
    return [...losses.values()]
  }
}

function hostOf ({ file, host }: TracedLine): string {
  return JSON.stringify([file, host])
}
