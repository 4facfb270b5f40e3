/** Verdicts on requests as an entry host knows them. */
import type { ToldVerdict } from '@eelgrassmux/schema/requestVerdict'

/** A verdict with its end on this host's clock. */
export interface HeldVerdict extends Omit<ToldVerdict, 'leftMs'> {
  /** Monotonic milliseconds. */
  readonly endsAt: number
}

/** What a view says about verdicts. */
export interface VerdictChanges {
  /** New or changed ones, or all of them. */
  readonly verdicts: readonly ToldVerdict[]
  /** Fingerprints on which there is no verdict any more. */
  readonly verdictsGone: readonly string[]
}

/** Follows the views. */
export class VerdictBook {
  #held = new Map<string, HeldVerdict>()

  /** Whether there is no verdict at all, so that no request has to be looked at. */
  get isEmpty (): boolean { return this.#held.size === 0 }
  get all (): readonly HeldVerdict[] { return [...this.#held.values()] }

  /** @param fingerprint - of a request */
  find (fingerprint: string): HeldVerdict | undefined {
    return this.#held.get(fingerprint)
  }

  /**
   * @param told - all verdicts
   * @param now - monotonic milliseconds
   */
  replace (told: readonly ToldVerdict[], now: number): void {
    this.#held = new Map()
    this.change({ verdicts: told, verdictsGone: [] }, now)
  }

  /**
   * @param changes - since the last view
   * @param now - monotonic milliseconds
   */
  change ({ verdicts, verdictsGone }: VerdictChanges, now: number): void {
    for (const fingerprint of verdictsGone) this.#held.delete(fingerprint)
    for (const { leftMs, ...verdict } of verdicts) this.#held.set(verdict.fingerprint, { ...verdict, endsAt: now + leftMs })
  }
}
