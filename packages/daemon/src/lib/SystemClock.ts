import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '@eelgrassmux/schema/Clock'

/** {@link Clock} and randomness of this process. */
export class SystemClock implements Clock {
  now (): number {
    return performance.now()
  }

  wallClock (): number {
    return Date.now()
  }

  /** @returns a number in [0, 1) */
  random (): number {
    return Math.random()
  }

  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    try {
      await sleep(milliseconds, undefined, signal === undefined ? {} : { signal })
    } catch {
      // Only the signal ends the wait early, and it knows.
    }
  }
}
