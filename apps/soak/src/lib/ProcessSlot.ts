/** A place for one process. When its process ends, for whatever reason, the next incarnation is started. */
import { setTimeout as sleep } from 'node:timers/promises'
import { ManagedProcess, type PrintedAddresses } from '@eelgrassmux/bench/ManagedProcess'

/** One incarnation. */
export interface Incarnation {
  /** Name of the slot and number of the incarnation, such as `entry-0#2`. */
  readonly label: string
  readonly process: ManagedProcess
  readonly addresses: PrintedAddresses
}

/** How a slot starts its processes. */
export interface SlotPlan {
  readonly name: string
  readonly program: URL
  readonly logFolder: string
  /** Arguments of an incarnation. */
  args (label: string): readonly string[]
  readonly environment?: Readonly<Record<string, string>>
  /** Told of each line on standard output. */
  onLine? (line: string): void
  onStart? (incarnation: Incarnation): void
  /**
   * Told of each process that ended before the slot was closed.
   *
   * @param code - its exit code; null if a signal ended it
   */
  onEnd? (label: string, code: number | null): void
}

/** Time between the end of a process and the start of the next, in milliseconds: as a service manager that restarts at once, or nearly. */
const RESTART_DELAY_MS = 400

/** Keeps one process running until closed. */
export class ProcessSlot {
  #current: Incarnation | undefined
  #count = 0
  #isClosed = false
  #supervision: Promise<void> = Promise.resolve()
  #failure: Error | undefined

  /** @param plan - how to start its processes */
  constructor (private readonly plan: SlotPlan) {}

  get name (): string { return this.plan.name }
  /** The process that runs now. */
  get current (): Incarnation | undefined { return this.#current }
  get label (): string { return `${this.plan.name}#${this.#count}` }
  /** Why no further incarnation could be started. */
  get failure (): Error | undefined { return this.#failure }

  /** @returns path of an incarnation's log */
  logFile (label = this.label): string {
    return `${this.plan.logFolder}/${label.replace('#', '-')}.log`
  }

  /** Starts the first incarnation and looks after it from then on. */
  async start (): Promise<void> {
    await this.#startNext()
    this.#supervision = this.#supervise()
  }

  /** Ends the process and starts no other. */
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
    const started = await ManagedProcess.start(plan.program, plan.args(label), options)
    this.#current = { label, ...started }
    plan.onStart?.(this.#current)
  }

  async #endIfClosed (): Promise<void> {
    if (this.#isClosed) await this.#current?.process.kill()
  }

  async #supervise (): Promise<void> {
    try {
      while (!this.#isClosed) {
        const { current } = this
        const code = await current?.process.exited()
        this.#current = undefined
        if (this.#isClosed) return
        if (current !== undefined) this.plan.onEnd?.(current.label, code ?? null)
        await sleep(RESTART_DELAY_MS)
        if (!this.#isClosed) await this.#startNext()
        // Closed while the process was starting: it must not be left behind.
        await this.#endIfClosed()
      }
    } catch (error) {
      this.#failure = error instanceof Error ? error : new Error(String(error))
    }
  }
}
