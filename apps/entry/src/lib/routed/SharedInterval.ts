/**
 * Looks that many requests want at the same interval.
 *
 * A timer for each request wakes the process once for each of them; one for all wakes it a few times a second.
 */

/** Calls everybody who has joined, by one timer that runs only while there is somebody. */
export class SharedInterval {
  readonly #callbacks = new Set<() => void>()
  #timer: NodeJS.Timeout | undefined

  /** @param intervalMs - between two looks, in milliseconds */
  constructor (private readonly intervalMs: number) {}

  /** @param callback - called from now on; for the first time within one interval */
  join (callback: () => void): void {
    this.#callbacks.add(callback)
    this.#timer ??= setInterval(() => { for (const joinedCallback of [...this.#callbacks]) joinedCallback() }, this.intervalMs)
  }

  /** @param look - not called any more */
  leave (look: () => void): void {
    this.#callbacks.delete(look)
    if (this.#callbacks.size > 0) return
    clearInterval(this.#timer)
    this.#timer = undefined
  }
}
