/**
 * The wish that a process stops, from its first moment on.
 *
 * A signal that arrives before anybody listens ends a process at once, with all the
 * connections that it has accepted by then. Created first, this keeps it until the
 * program has started and can stop as planned.
 */

/** Signals that ask for a planned stop. */
const SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Exit code after a second signal, by which an operator cuts what is under way. */
const EXIT_CUT = 1

/** Listens for the signals of one process. */
export class StopSignal {
  readonly #received: Promise<void>

  constructor () {
    this.#received = new Promise(resolve => {
      let hasCome = false
      const onSignal = (): void => {
        if (hasCome) process.exit(EXIT_CUT)
        hasCome = true
        resolve()
      }
      for (const signal of SIGNALS) process.on(signal, onSignal)
    })
  }

  /** Resolves when the process shall stop; at once if it was told before. */
  async received (): Promise<void> {
    await this.#received
  }
}
