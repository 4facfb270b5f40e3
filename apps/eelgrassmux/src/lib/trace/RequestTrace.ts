/** Log lines about one request, from the collected log files of several processes. */
import { CrashedEndpoints } from './CrashedEndpoints.js'
import { DroppedLineReports, type DroppedLines, type TimeRange } from './DroppedLineReports.js'
import { readLogFile } from './readLogFile.js'
import { processKey, type TracedLine } from './TracedLine.js'

/** A file that could not be read, with the reason. */
export interface UnreadableFile {
  readonly file: string
  readonly reason: string
}

/** Collects the log lines about a request. */
export class RequestTrace {
  readonly #requestLines: TracedLine[] = []
  readonly #contextLines: TracedLine[] = []
  readonly #droppedLineReports = new DroppedLineReports()
  readonly #unreadableFiles: UnreadableFile[] = []
  #truncatedLineCount = 0

  /** @param requestId - request id from the caller */
  constructor (private readonly requestId: string) {}

  /** Lines in order of time; lines with the same time are in order of file and line number. */
  get lines (): readonly TracedLine[] {
    return [...this.#requestLines, ...this.#contextLines].sort((left, right) => compareTimes(left, right) || compareFiles(left, right))
  }

  /** Whether a line of the request was found. */
  get isFound (): boolean { return this.#requestLines.length > 0 }

  /** Number of lines that name the request but are truncated. */
  get truncatedLineCount (): number { return this.#truncatedLineCount }

  /** Lines that were not written and may include lines of the request. */
  get droppedLines (): readonly DroppedLines[] {
    return this.#droppedLineReports.affecting(this.#requestLines, this.#timeRange())
  }

  get unreadableFiles (): readonly UnreadableFile[] { return this.#unreadableFiles }

  /**
   * Reads the lines of the request.
   *
   * @param files - paths; a file that can't be read is added to {@link unreadableFiles}
   */
  async readRequest (files: readonly string[]): Promise<void> {
    const name = `"request":${JSON.stringify(this.requestId)}`
    const isWanted = (text: string): boolean => text.includes(name) || DroppedLineReports.mayContainReport(text)
    await this.#readAll(files, isWanted, (text, lines) => {
      const ownLines = lines.filter(line => line.request === this.requestId)
      if (ownLines.length === 0 && text.includes(name)) this.#truncatedLineCount += 1
      this.#requestLines.push(...ownLines)
      this.#droppedLineReports.add(lines)
    })
  }

  /**
   * Reads lines about the state of the processes that handled the request, from around the time of
   * the request. Call it after {@link readRequest}.
   *
   * @param marginMs - time before and after the request to include, in milliseconds
   */
  async readContext (marginMs: number): Promise<void> {
    const processes = new Set(this.#requestLines.map(processKey))
    const files = [...new Set(this.#requestLines.map(({ file }) => file))]
    const { from, to } = this.#timeRange()
    await this.#readAll(files, text => !text.includes('"request":'), (_text, lines) => {
      this.#contextLines.push(...lines.filter(line =>
        line.request === undefined && processes.has(processKey(line)) && line.time >= from - marginMs && line.time <= to + marginMs))
    })
  }

  /**
   * Reads lines about the endpoints that crashed while they ran the request, and about the same
   * request under other ids. Call it after {@link readRequest}.
   *
   * @param files - paths, including those of processes that did not handle the request
   * @param marginMs - time before and after the request in which lines of other requests are included, in milliseconds
   */
  async readRelatedCrashes (files: readonly string[], marginMs: number): Promise<void> {
    const crashedEndpoints = new CrashedEndpoints(this.#requestLines)
    const { from, to } = this.#timeRange()
    const range = { from: from - marginMs, to: to + marginMs }
    await this.#readAll(files, text => crashedEndpoints.mayBeRelated(text), (_text, lines) => {
      const known = new Set(this.#contextLines.map(lineKey))
      this.#contextLines.push(...lines.filter(line => line.request !== this.requestId && !known.has(lineKey(line)) && crashedEndpoints.isRelated(line, range)))
    })
  }

  /** Time from arrival to the last line. A request that was refused at once has only one line, so its arrival follows from `elapsedMs`. */
  #timeRange (): TimeRange {
    const times = this.#requestLines.filter(({ time }) => !Number.isNaN(time))
    const startTimes = times.map(({ time, fields }) => typeof fields['elapsedMs'] === 'number' ? time - fields['elapsedMs'] : time)
    return {
      from: startTimes.reduce((least, time) => Math.min(least, time), Number.POSITIVE_INFINITY),
      to: times.reduce((most, { time }) => Math.max(most, time), Number.NEGATIVE_INFINITY)
    }
  }

  async #readAll (files: readonly string[], isWanted: (text: string) => boolean, collect: (text: string, lines: readonly TracedLine[]) => void): Promise<void> {
    for (const file of files) {
      try {
        for await (const { text, lines } of readLogFile(file, isWanted)) collect(text, lines)
      } catch (error) {
        this.#unreadableFiles.push({ file, reason: error instanceof Error ? error.message : String(error) })
      }
    }
  }
}

function lineKey ({ file, lineNumber }: TracedLine): string {
  return `${file}:${lineNumber}`
}

function compareTimes (left: TracedLine, right: TracedLine): number {
  return left.time < right.time ? -1 : left.time > right.time ? 1 : 0
}

function compareFiles (left: TracedLine, right: TracedLine): number {
  if (left.file === right.file) return left.lineNumber - right.lineNumber
  return left.file < right.file ? -1 : 1
}
