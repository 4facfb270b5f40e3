/** Keeps one process running: whenever it exits, for whatever reason, the next incarnation is started. */
import { setTimeout as sleep } from 'node:timers/promises'
import { ManagedProcess, type PrintedAddresses } from '@eelgrassmux/bench/ManagedProcess'

/** One incarnation of a slot's process. */
export interface Incarnation {
  /** Name of the slot and number of the incarnation, for example `entry-0#2`. */
  readonly label: string
  readonly process: ManagedProcess
  readonly addresses: PrintedAddresses
}

/** How a slot starts its processes, and whom it notifies. */
export interface SlotPlan {
  readonly name: string
  readonly program: URL
  readonly logFolder: string
  /** Returns the command-line arguments of an incarnation. */
  args (label: string): readonly string[]
  readonly environment?: Readonly<Record<string, string>>
  /** Called for each line that a process writes to standard output. */
  onLine? (line: string): void
  onStart? (incarnation: Incarnation): void
  /**
   * Called for each process that exits before the slot is closed.
   *
   * @param code - exit code; null if a signal ended the process
   */
  onEnd? (label: string, code: number | null): void
  /** Called for each process that ends, or is killed after a time limit, before it listens. */
  onFailedStart? (label: string, error: unknown): void
}

/** Delay between the exit of a process and the start of the next one, in milliseconds: like a service manager that restarts almost at once. */
const RESTART_DELAY_MS = 400

/** Supervises one process until closed. */
export class ProcessSlot {
  #current: Incarnation | undefined
  #count = 0
  #nextArguments: readonly string[] = []
  #isClosed = false
  #supervision: Promise<void> = Promise.resolve()

  /** @param plan - how to start the processes */
  constructor (private readonly plan: SlotPlan) {}

  get name (): string { return this.plan.name }
  /** The running incarnation; undefined between two of them. */
  get current (): Incarnation | undefined { return this.#current }
  get label (): string { return `${this.plan.name}#${this.#count}` }

  /** @returns path of the log file of an incarnation */
  logFile (label = this.label): string {
    return `${this.plan.logFolder}/${label.replace('#', '-')}.log`
  }

  /**
   * Adds command-line arguments to those of the processes to come, until one of them listens.
   *
   * @param args - the arguments, which win over others of the same names
   */
  startNextWith (args: readonly string[]): void {
    this.#nextArguments = args
  }

  /** Starts the first incarnation and supervises the slot from then on. */
  async start (): Promise<void> {
    await this.#startNext()
    this.#supervision = this.#supervise()
  }

  /** Kills the process and starts no further one. */
  async close (): Promise<void> {
    this.#isClosed = true
    await this.#current?.process.kill()
    await this.#supervision
  }

  async #startNext (): Promise<void> {
    this.#count += 1
    const { label, plan } = this
    const options = {
      logFile: this.logFile(),
      ...(plan.environment === undefined ? {} : { environment: plan.environment }),
      onLine: (line: string) => { plan.onLine?.(line) }
    }
    const started = await ManagedProcess.start(plan.program, [...plan.args(label), ...this.#nextArguments], options)
    this.#nextArguments = []
    this.#current = { label, ...started }
    plan.onStart?.(this.#current)
  }

  async #endIfClosed (): Promise<void> {
    if (this.#isClosed) await this.#current?.process.kill()
  }

  async #supervise (): Promise<void> {
    while (!this.#isClosed) {
      const { current } = this
      const code = await current?.process.exited()
      this.#current = undefined
      if (this.#isClosed) return
      if (current !== undefined) this.plan.onEnd?.(current.label, code ?? null)
      await sleep(RESTART_DELAY_MS)
      if (!this.#isClosed) await this.#tryToStartNext()
      // The slot may have been closed while the process was starting, which must not outlive it.
      await this.#endIfClosed()
    }
  }

  /** A process that fails to start is followed by the next one, like any other. */
  async #tryToStartNext (): Promise<void> {
    try {
      await this.#startNext()
    } catch (error) {
      this.plan.onFailedStart?.(this.label, error)
    }
  }
}
