/** The part of the agreed state that says which requests are not run because they crash the endpoints that run them. */
import type { QuarantineDecision, QuarantineEntry, QuarantineState } from '@eelgrassmux/schema/quarantineEntry'

/** Entries held at most: each takes some 100 bytes in snapshots and views. */
export const MOST_ENTRIES = 512

/** How long a released request is remembered, in milliseconds: long enough for one that comes once a day's shift. */
const RELEASED_MS = 24 * 60 * 60 * 1000

/** The first to go when there are too many. */
const GOES_FIRST: readonly QuarantineState[] = ['suspected', 'released', 'quarantined']

/** Entries by fingerprint; equal commands give equal entries. */
export class QuarantineRegistry {
  readonly #entries = new Map<string, QuarantineEntry>()

  get all (): readonly QuarantineEntry[] { return [...this.#entries.values()] }

  /**
   * @param fingerprint - of a request
   * @returns what is held of it
   */
  find (fingerprint: string): QuarantineEntry | undefined {
    return this.#entries.get(fingerprint)
  }

  /** When the next entry ends, on the agreed clock; undefined if there is none. */
  get nextExpiryAt (): number | undefined {
    const ends = this.all.map(({ endsAt }) => endsAt)
    return ends.length === 0 ? undefined : Math.min(...ends)
  }

  /**
   * @param decisions - to apply in order
   * @param clock - agreed time, in milliseconds
   * @returns fingerprints whose entry changed
   */
  apply (decisions: readonly QuarantineDecision[], clock: number): string[] {
    return decisions.flatMap(decision => this.#change(decision, clock) ? this.#makeRoom([decision.fingerprint]) : [])
  }

  /**
   * @param clock - agreed time, in milliseconds
   * @returns fingerprints whose entry changed
   */
  expire (clock: number): string[] {
    const ended = this.all.filter(({ endsAt }) => endsAt <= clock)
    for (const entry of ended) {
      if (entry.state === 'quarantined') this.#entries.set(entry.fingerprint, { ...entry, state: 'released', endsAt: clock + RELEASED_MS })
      else this.#entries.delete(entry.fingerprint)
    }
    return ended.map(({ fingerprint }) => fingerprint)
  }

  /** @param entries - of a snapshot; replace everything */
  restore (entries: readonly QuarantineEntry[]): void {
    this.#entries.clear()
    for (const entry of entries) this.#entries.set(entry.fingerprint, entry)
  }

  #change ({ fingerprint, service, decision, forMs }: QuarantineDecision, clock: number): boolean {
    const present = this.#entries.get(fingerprint)
    switch (decision) {
      case 'clear':
        return this.#entries.delete(fingerprint)
      case 'suspect':
        // Suspicion adds nothing to what is known of it already.
        if (present !== undefined) return false
        this.#entries.set(fingerprint, { fingerprint, service, state: 'suspected', endsAt: clock + forMs, quarantines: 0 })
        return true
      case 'quarantine':
        if (present?.state === 'quarantined') return false
        this.#entries.set(fingerprint, { fingerprint, service, state: 'quarantined', endsAt: clock + forMs, quarantines: (present?.quarantines ?? 0) + 1 })
        return true
    }
  }

  /** @returns the given fingerprints, and that of the entry that had to go */
  #makeRoom (changed: string[]): string[] {
    if (this.#entries.size <= MOST_ENTRIES) return changed
    const [first] = this.all.toSorted((left, right) => GOES_FIRST.indexOf(left.state) - GOES_FIRST.indexOf(right.state) || left.endsAt - right.endsAt)
    if (first === undefined) return changed
    this.#entries.delete(first.fingerprint)
    return [...changed, first.fingerprint]
  }
}
