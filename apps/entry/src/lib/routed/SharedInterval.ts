/**
 * Periodic callbacks of many requests on one shared timer.
 *
 * With a timer for each request, the process would wake up once for each of them; the shared timer wakes it up a few times a second.
 */

/** Calls all registered callbacks at an interval. The timer runs only while there are callbacks. */
export class SharedInterval {
  readonly #callbacks = new Set<() => void>()
  #timer: NodeJS.Timeout | undefined

  /** @param intervalMs - interval between calls, in milliseconds */
  constructor (private readonly intervalMs: number) {}

  /** @param callback - callback to add; it is called for the first time within one interval */
  join (callback: () => void): void {
    this.#callbacks.add(callback)
    this.#timer ??= setInterval(() => { for (const joinedCallback of [...this.#callbacks]) joinedCallback() }, this.intervalMs)
  }

  /** @param callback - callback to remove */
  leave (callback: () => void): void {
    this.#callbacks.delete(callback)
    if (this.#callbacks.size > 0) return
    clearInterval(this.#timer)
    this.#timer = undefined
  }
}
