/** Starts, monitors and stops child processes of scripts. Only scripts start processes; daemons never do. */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, type WriteStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

/** Programs of the workspace that can be started. */
export type ProgramName = 'entry' | 'directory' | 'control' | 'standin' | 'eelgrassmux' | 'load'

/** Options of a managed process. */
export interface ProcessOptions {
  /** File that receives all output of the process. */
  readonly logFile?: string
  /** Called with each line of standard output. */
  readonly onLine?: (line: string) => void
  /** Variables added to the script's own environment. */
  readonly environment?: Readonly<Record<string, string>>
}

/** Addresses that a process printed when it began to listen, by interface name. */
export type PrintedAddresses = Readonly<Record<string, string>>

/** Exit code of a script that was interrupted. */
const EXIT_INTERRUPTED = 130

/** Timeout for the line in which a process prints its addresses, in milliseconds. */
const START_TIMEOUT_MS = 20_000

/**
 * @param program - program name, or URL of a main module
 * @returns path of its main module
 */
export function programPath (program: ProgramName | URL): string {
  return fileURLToPath(program instanceof URL ? program : new URL(`../../../${program}/dist/main.js`, import.meta.url))
}

/** Child processes that are killed when this script exits for any reason. */
const runningChildren = new Set<ChildProcess>()

process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL')
})
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => { process.exit(EXIT_INTERRUPTED) })
}

/** A child process of a script. */
export class ManagedProcess {
  readonly #child: ChildProcess
  readonly #exit: Promise<number | null>
  readonly #log: WriteStream | undefined
  #stderrTail = ''

  private constructor (readonly program: ProgramName | URL, readonly args: readonly string[], private readonly options: ProcessOptions) {
    const env = { ...process.env, ...options.environment }
    this.#child = spawn(process.execPath, [programPath(program), ...args], { stdio: ['ignore', 'pipe', 'pipe'], env })
    this.#log = options.logFile === undefined ? undefined : createWriteStream(options.logFile)
    runningChildren.add(this.#child)
    this.#exit = once(this.#child, 'exit').then(([code]) => {
      runningChildren.delete(this.#child)
      return code as number | null
    })
    this.#child.stderr?.on('data', (bytes: Buffer) => {
      this.#stderrTail = (this.#stderrTail + bytes.toString()).slice(-4000)
      this.#log?.write(bytes)
    })
  }

  /**
   * Starts a program and waits until it listens; kills it if it doesn't in time.
   *
   * @param program - program name, or URL of a main module
   * @param args - command-line arguments
   * @param options - log file, line listener and environment
   * @returns the process and its addresses
   */
  static async start (
    program: ProgramName | URL, args: readonly string[], options: ProcessOptions = {}
  ): Promise<{ process: ManagedProcess, addresses: PrintedAddresses }> {
    const startedProcess = new ManagedProcess(program, args, options)
    try {
      const addresses = await startedProcess.#waitUntilListening()
      return { process: startedProcess, addresses }
    } catch (error) {
      await startedProcess.kill()
      throw error
    }
  }

  get pid (): number { return this.#child.pid ?? 0 }
  get isRunning (): boolean { return this.#child.exitCode === null && this.#child.signalCode === null }
  /** The last 4000 characters of standard error. */
  get stderrTail (): string { return this.#stderrTail }

  /**
   * Sends a signal to the process.
   *
   * @param signal - signal to send
   */
  signal (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  /** @returns the exit code once the process has exited; null if a signal ended it */
  async exited (): Promise<number | null> {
    return await this.#exit
  }

  /** Sends SIGTERM and waits until the process has exited. */
  async stop (): Promise<number | null> {
    if (this.isRunning) this.signal('SIGTERM')
    return await this.exited()
  }

  /** Sends SIGKILL and waits until the process has exited. */
  async kill (): Promise<void> {
    if (this.isRunning) this.signal('SIGKILL')
    await this.exited()
  }

  async #waitUntilListening (): Promise<PrintedAddresses> {
    const stdout = this.#child.stdout
    if (stdout === null) throw new Error('the child process has no standard output')
    const lines = createInterface({ input: stdout })
    return await new Promise((resolve, reject) => {
      const timer = setTimeout(() => { reject(new Error(`${String(this.program)} did not start listening in time: ${this.#stderrTail}`)) }, START_TIMEOUT_MS)
      lines.on('line', line => {
        this.#log?.write(`${line}\n`)
        this.options.onLine?.(line)
        const parsed = parseListening(line)
        if (parsed === undefined) return
        clearTimeout(timer)
        resolve(parsed)
      })
      void this.#exit.then(code => {
        clearTimeout(timer)
        reject(new Error(`${String(this.program)} exited with ${code ?? 'a signal'}: ${this.#stderrTail}`))
      })
    })
  }
}

function parseListening (line: string): PrintedAddresses | undefined {
  if (!line.includes('"listening"')) return undefined
  const parsed: unknown = JSON.parse(line)
  if (typeof parsed !== 'object' || parsed === null) return undefined
  return Object.fromEntries(Object.entries(parsed).map(([name, value]) => [name, String(value)]))
}
