import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '@eelgrassmux/schema/Clock'

/** {@link Clock} of the system, with the random numbers of this process. */
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
      // The sleep rejects only if the caller's signal aborts it, and the caller checks its signal.
    }
  }
}
