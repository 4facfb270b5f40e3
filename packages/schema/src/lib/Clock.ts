/** Time as tasks see it. Randomised runs put their own in its place. */
export interface Clock {
  /** Monotonic milliseconds; never the wall clock. */
  now (): number
  /** Wall clock in milliseconds, for stamps that other hosts read. */
  wallClock (): number
  /**
   * Waits.
   *
   * @param milliseconds - how long
   * @param signal - ends the wait early
   */
  sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}
