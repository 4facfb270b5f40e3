/**
 * Looks whether the endpoint of a request that may run elsewhere has fallen silent towards everybody.
 *
 * Answers endpoints that hang with requests under way: one that may run elsewhere
 * goes on there, long before its caller's time is over.
 */

/** Interval between looks, in milliseconds: a quarter of the silence that counts. */
const LOOK_MS = 200

/** Watch over one attempt at a time. */
export class SilenceWatch {
  #timer: NodeJS.Timeout | undefined

  /**
   * Starts to look, in place of any earlier watch.
   *
   * @param isSilent - asked at each look
   * @param onSilence - called once when it says yes
   */
  start (isSilent: () => boolean, onSilence: () => void): void {
    this.stop()
    this.#timer = setInterval(() => {
      if (!isSilent()) return
      this.stop()
      onSilence()
    }, LOOK_MS)
  }

  /** Stops looking. */
  stop (): void {
    clearInterval(this.#timer)
  }
}
