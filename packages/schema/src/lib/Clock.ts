/** Source of time for tasks. Randomised simulations replace it with their own. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now (): number
  /** Wall clock in milliseconds, for timestamps that other hosts read. */
  wallClock (): number
  /**
   * @param milliseconds - time to wait
   * @param signal - ends the wait early
   */
  sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}
