/**
 * Receives the signals of a process from its start on.
 *
 * A signal without a listener ends the process immediately, together with all connections
 * that it has accepted. An instance that is created before the program is loaded holds
 * signals back until the program has started and can handle them.
 */

/** Exit code if an operator interrupts a graceful stop, which aborts the work in progress. */
const EXIT_INTERRUPTED = 1

/**
 * Age of a process up to which a signal may have arrived earlier than it was noticed, in
 * milliseconds. No signal is noticed while the code is loaded, which takes some tenths of a second.
 */
const MAX_LOADING_MS = 1000

/** Listens for the signals of one process. */
export class ProcessSignals {
  readonly #stopped: Promise<number>
  #stopReceivedAt: number | undefined
  #isReloadPending = false
  #onReload: (() => void) | undefined
  #beforeForcedExit: () => void = () => {}
  readonly #sleepers = new Set<() => void>()

  constructor () {
    this.#stopped = new Promise(resolve => {
      const stop = (): void => {
        if (this.#stopReceivedAt !== undefined) return
        this.#stopReceivedAt = estimateReceivedAt(performance.now())
        resolve(this.#stopReceivedAt)
        this.#wakeSleepers()
      }
      process.on('SIGTERM', stop)
      process.on('SIGINT', () => {
        // A supervisor may repeat SIGTERM, so only SIGINT forces the exit: an operator sends it on purpose.
        if (this.#stopReceivedAt === undefined) stop()
        else this.#forceExit()
      })
    })
    process.on('SIGHUP', () => {
      if (this.#onReload === undefined) this.#isReloadPending = true
      else this.#onReload()
      this.#wakeSleepers()
    })
  }

  /** Whether the process has received a signal to stop. */
  get isStopReceived (): boolean { return this.#stopReceivedAt !== undefined }

  /**
   * Waits for a time, or until the next signal; not at all if the process is to stop.
   *
   * @param milliseconds - longest wait
   */
  async sleep (milliseconds: number): Promise<void> {
    if (this.isStopReceived) return
    await new Promise<void>(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.#sleepers.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, milliseconds)
      this.#sleepers.add(wake)
    })
  }

  /**
   * Resolves when the process has received a signal to stop; immediately if it already has.
   *
   * @returns monotonic milliseconds at which the signal arrived, or an earlier time
   */
  async stopReceived (): Promise<number> {
    return await this.#stopped
  }

  /** @param listener - called right before an interrupt during a graceful stop ends the process */
  onForcedExit (listener: () => void): void {
    this.#beforeForcedExit = listener
  }

  /** @param listener - called on each signal to reload settings, and immediately if one has already arrived */
  onReload (listener: () => void): void {
    this.#onReload = listener
    if (!this.#isReloadPending) return
    this.#isReloadPending = false
    listener()
  }

  #wakeSleepers (): void {
    for (const wake of [...this.#sleepers]) wake()
  }

  #forceExit (): void {
    this.#beforeForcedExit()
    process.exit(EXIT_INTERRUPTED)
  }
}

/**
 * Returns the earliest time at which a signal may have arrived. An estimate that is too early costs some
 * requests, since the stop ends sooner than necessary; one that is too late aborts them, since the
 * supervisor kills the process first.
 */
function estimateReceivedAt (noticedAt: number): number {
  return noticedAt < MAX_LOADING_MS ? 0 : noticedAt
}
