/** The part of the agreed state that says which requests are not run because they end the endpoints that run them. */
import type { Judgement, RequestVerdict, VerdictState } from '@eelgrassmux/schema/requestVerdict'

/** Verdicts held at most: each takes some 100 bytes in snapshots and views. */
export const MOST_VERDICTS = 512

/** How long a released request is remembered, in milliseconds: long enough for one that comes once a day's shift. */
const RELEASED_MS = 24 * 60 * 60 * 1000

/** The first to go when there are too many. */
const GOES_FIRST: readonly VerdictState[] = ['suspected', 'released', 'quarantined']

/** Verdicts by fingerprint; equal commands give equal verdicts. */
export class VerdictRegister {
  readonly #verdicts = new Map<string, RequestVerdict>()

  get all (): readonly RequestVerdict[] { return [...this.#verdicts.values()] }

  /**
   * @param fingerprint - of a request
   * @returns what is held of it
   */
  find (fingerprint: string): RequestVerdict | undefined {
    return this.#verdicts.get(fingerprint)
  }

  /** When the next verdict ends, on the agreed clock; undefined if there is none. */
  get nextEndAt (): number | undefined {
    const ends = this.all.map(({ endsAt }) => endsAt)
    return ends.length === 0 ? undefined : Math.min(...ends)
  }

  /**
   * @param judgements - to apply in order
   * @param clock - agreed time, in milliseconds
   * @returns fingerprints whose verdict changed
   */
  judge (judgements: readonly Judgement[], clock: number): string[] {
    return judgements.flatMap(judgement => this.#apply(judgement, clock) ? this.#makeRoom([judgement.fingerprint]) : [])
  }

  /**
   * @param clock - agreed time, in milliseconds
   * @returns fingerprints whose verdict changed
   */
  expire (clock: number): string[] {
    const ended = this.all.filter(({ endsAt }) => endsAt <= clock)
    for (const verdict of ended) {
      if (verdict.state === 'quarantined') this.#verdicts.set(verdict.fingerprint, { ...verdict, state: 'released', endsAt: clock + RELEASED_MS })
      else this.#verdicts.delete(verdict.fingerprint)
    }
    return ended.map(({ fingerprint }) => fingerprint)
  }

  /** @param verdicts - of a snapshot; replace everything */
  restore (verdicts: readonly RequestVerdict[]): void {
    this.#verdicts.clear()
    for (const verdict of verdicts) this.#verdicts.set(verdict.fingerprint, verdict)
  }

  #apply ({ fingerprint, service, judgement, forMs }: Judgement, clock: number): boolean {
    const present = this.#verdicts.get(fingerprint)
    switch (judgement) {
      case 'clear':
        return this.#verdicts.delete(fingerprint)
      case 'suspect':
        // Suspicion adds nothing to what is known of it already.
        if (present !== undefined) return false
        this.#verdicts.set(fingerprint, { fingerprint, service, state: 'suspected', endsAt: clock + forMs, quarantines: 0 })
        return true
      case 'quarantine':
        if (present?.state === 'quarantined') return false
        this.#verdicts.set(fingerprint, { fingerprint, service, state: 'quarantined', endsAt: clock + forMs, quarantines: (present?.quarantines ?? 0) + 1 })
        return true
    }
  }

  /** @returns the given fingerprints, and that of the verdict that had to go */
  #makeRoom (changed: string[]): string[] {
    if (this.#verdicts.size <= MOST_VERDICTS) return changed
    const [first] = this.all.toSorted((left, right) => GOES_FIRST.indexOf(left.state) - GOES_FIRST.indexOf(right.state) || left.endsAt - right.endsAt)
    if (first === undefined) return changed
    this.#verdicts.delete(first.fingerprint)
    return [...changed, first.fingerprint]
  }
}
