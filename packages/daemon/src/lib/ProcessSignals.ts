/**
 * What a process is told by signals, from its first moment on.
 *
 * A signal that arrives before anybody listens ends a process at once, with all the
 * connections that it has accepted by then. Created first, this keeps signals until the
 * program has started and can act on them.
 */

/** Exit code after an operator's interrupt of a stop, which cuts what is under way. */
const EXIT_INTERRUPTED = 1

/**
 * Age of a process up to which a signal may have waited for its code to load, in
 * milliseconds: loading takes some tenths of a second in which no signal is noticed.
 */
const MAX_LOADING_MS = 1000

/** Listens for the signals of one process. */
export class ProcessSignals {
  readonly #stopped: Promise<number>
  #stopReceivedAt: number | undefined
  #isReloadPending = false
  #onReload: (() => void) | undefined
  #beforeForcedExit: () => void = () => {}

  constructor () {
    this.#stopped = new Promise(resolve => {
      const stop = (): void => {
        if (this.#stopReceivedAt !== undefined) return
        this.#stopReceivedAt = estimateReceivedAt(performance.now())
        resolve(this.#stopReceivedAt)
      }
      process.on('SIGTERM', stop)
      process.on('SIGINT', () => {
        // A supervisor may repeat itself; an operator who does so means it.
        if (this.#stopReceivedAt === undefined) stop()
        else this.#forceExit()
      })
    })
    process.on('SIGHUP', () => {
      if (this.#onReload === undefined) this.#isReloadPending = true
      else this.#onReload()
    })
  }

  /**
   * Resolves when the process shall stop; at once if it was told before.
   *
   * @returns monotonic milliseconds at which it was told, or earlier
   */
  async stopReceived (): Promise<number> {
    return await this.#stopped
  }

  /** @param listener - called right before an interrupt of a stop ends the process */
  onForcedExit (listener: () => void): void {
    this.#beforeForcedExit = listener
  }

  /** @param listener - called at each wish to reload settings, and now if there was one before */
  onReload (listener: () => void): void {
    this.#onReload = listener
    if (!this.#isReloadPending) return
    this.#isReloadPending = false
    listener()
  }

  #forceExit (): void {
    this.#beforeForcedExit()
    process.exit(EXIT_INTERRUPTED)
  }
}

/** A stop that is thought to have begun too early costs some requests; one thought to begin late cuts them. */
function estimateReceivedAt (noticedAt: number): number {
  return noticedAt < MAX_LOADING_MS ? 0 : noticedAt
}
