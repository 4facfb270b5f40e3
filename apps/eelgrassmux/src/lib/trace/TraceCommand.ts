/** `trace`: prints the log lines of one request from collected log files. */
import { stat } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { EXIT_FAILED, EXIT_USAGE } from '../exitCodes.js'
import { formatLines } from './formatLines.js'
import { RequestTrace } from './RequestTrace.js'

/** Prints the log lines of one request in order of time. Reads only files and makes no calls to control hosts. */
export class TraceCommand extends Command {
  static override paths = [['trace']]
  static override usage = Command.Usage({
    description: 'put the lines of one request, from the log files of several processes, in order of time',
    details: 'Files hold the standard output of one or more processes, as written or with a prefix before each line, such as a time and a host\'s name; other text and cut lines are passed over. Order between hosts is as good as their clocks. With --around lines marked ~ show what the same processes came to believe meanwhile, with --ends who else was lost with the same endpoints, what the same request did under other ids and what was judged of it (the files are read twice). Exits with 1 if no line of the request is there or a file can\'t be read, with 2 for wrong use.',
    examples: [
      ['Why a request failed', 'eelgrassmux trace --around cfda17a27da19b09 entry-*.log'],
      ['Which request ended its endpoint', 'eelgrassmux trace --ends cfda17a27da19b09 entry-*.log control-*.log']
    ]
  })

  id = Option.String({ required: true, name: 'ID' })
  files = Option.Rest({ required: 1, name: 'FILE' })
  around = Option.Boolean('--around', false, { description: 'also show changes of belief of the same processes' })
  ends = Option.Boolean('--ends', false, { description: 'also show who was lost with the same endpoints, and what was judged' })
  margin = Option.String('--margin-ms', '1000', { description: 'how long before and after the request --around and --ends look at others, in milliseconds' })
  json = Option.Boolean('--json', false, { description: 'print a JSON object for each line' })

  override async execute (): Promise<number> {
    const marginMs = Number(this.margin)
    if (this.id === '') return this.#printError('ID must not be empty', EXIT_USAGE)
    if (this.margin === '' || !Number.isInteger(marginMs) || marginMs < 0) return this.#printError('--margin-ms must be a whole number of milliseconds', EXIT_USAGE)
    if (this.around || this.ends) {
      const singlePassFile = await findSinglePassFile(this.files)
      if (singlePassFile !== undefined) return this.#printError(`--${this.around ? 'around' : 'ends'} reads files twice, and ${singlePassFile} is no regular file`, EXIT_USAGE)
    }
    const trace = new RequestTrace(this.id)
    const files = [...new Set(this.files)]
    await trace.readRequest(files)
    if (this.around && trace.isFound) await trace.readContext(marginMs)
    if (this.ends && trace.isFound) await trace.readRelatedCrashes(files, marginMs)
    this.#print(trace)
    this.#printWarnings(trace)
    if (!trace.isFound) return this.#printError(`no line of request ${this.id} in ${this.files.length} files`, EXIT_FAILED)
    return trace.unreadableFiles.length === 0 ? 0 : EXIT_FAILED
  }

  #print (trace: RequestTrace): void {
    const texts = this.json
      ? trace.lines.map(({ time, ...line }) => JSON.stringify({ time: Number.isNaN(time) ? null : new Date(time).toISOString(), ...line }))
      : formatLines(trace.lines, this.id)
    for (const text of texts) this.context.stdout.write(`${text}\n`)
  }

  /** Prints which lines may be missing from the output. */
  #printWarnings (trace: RequestTrace): void {
    for (const { file, reason } of trace.unreadableFiles) this.#printError(`${file} can't be read: ${reason}`, EXIT_FAILED)
    if (trace.truncatedLineCount > 0) this.#printError(`${trace.truncatedLineCount} lines name the request but are cut`, EXIT_FAILED)
    for (const { file, host, event, lines } of trace.droppedLines) {
      this.#printError(`${[host, file].filter(part => part !== undefined).join(' ')}: ${lines} lines were not written (${event}), perhaps of this request`, EXIT_FAILED)
    }
  }

  #printError (line: string, code: number): number {
    this.context.stderr.write(`eelgrassmux: ${line}\n`)
    return code
  }
}

/** @returns the first file that can be read only once, such as a pipe; a missing file is reported when it is read */
async function findSinglePassFile (files: readonly string[]): Promise<string | undefined> {
  for (const file of files) {
    const isSinglePass = await stat(file).then(found => !found.isFile() && !found.isDirectory(), () => false)
    if (isSinglePass) return file
  }
  return undefined
}
