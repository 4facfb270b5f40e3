/** Replicated state of the quarantine: requests that are not run because they crash the endpoints that run them. */
import type { QuarantineDecision, QuarantineEntry, QuarantineState } from '@eelgrassmux/schema/quarantineEntry'

/** Maximum number of entries; each takes about 100 bytes in snapshots and views. */
export const MAX_ENTRIES = 512

/** How long a released request is remembered, in milliseconds: a day, to recognise requests that are sent once per daily shift. */
const RELEASED_RETENTION_MS = 24 * 60 * 60 * 1000

/** Order in which states are evicted when there are too many entries. */
const EVICTION_ORDER: readonly QuarantineState[] = ['suspected', 'released', 'quarantined']

/** Entries by fingerprint; the same commands always result in the same entries. */
export class QuarantineRegistry {
  readonly #entries = new Map<string, QuarantineEntry>()

  get all (): readonly QuarantineEntry[] { return [...this.#entries.values()] }

  /**
   * @param fingerprint - fingerprint of a request
   * @returns the entry of the request, if there is one
   */
  find (fingerprint: string): QuarantineEntry | undefined {
    return this.#entries.get(fingerprint)
  }

  /** Time at which the next entry expires, on the replicated clock; undefined if there are no entries. */
  get nextExpiryAt (): number | undefined {
    const ends = this.all.map(({ endsAt }) => endsAt)
    return ends.length === 0 ? undefined : Math.min(...ends)
  }

  /**
   * @param decisions - decisions to apply in order
   * @param clock - replicated time, in milliseconds
   * @returns fingerprints of the entries that changed
   */
  apply (decisions: readonly QuarantineDecision[], clock: number): string[] {
    return decisions.flatMap(decision => this.#change(decision, clock) ? this.#evictIfFull([decision.fingerprint]) : [])
  }

  /**
   * @param clock - replicated time, in milliseconds
   * @returns fingerprints of the entries that changed
   */
  expire (clock: number): string[] {
    const ended = this.all.filter(({ endsAt }) => endsAt <= clock)
    for (const entry of ended) {
      if (entry.state === 'quarantined') this.#entries.set(entry.fingerprint, { ...entry, state: 'released', endsAt: clock + RELEASED_RETENTION_MS })
      else this.#entries.delete(entry.fingerprint)
    }
    return ended.map(({ fingerprint }) => fingerprint)
  }

  /** @param entries - entries from a snapshot; replace the current entries */
  restore (entries: readonly QuarantineEntry[]): void {
    this.#entries.clear()
    for (const entry of entries) this.#entries.set(entry.fingerprint, entry)
  }

  #change ({ fingerprint, service, decision, forMs }: QuarantineDecision, clock: number): boolean {
    const existing = this.#entries.get(fingerprint)
    switch (decision) {
      case 'clear':
        return this.#entries.delete(fingerprint)
      case 'suspect':
        // Any existing entry carries at least as much information as a suspicion.
        if (existing !== undefined) return false
        this.#entries.set(fingerprint, { fingerprint, service, state: 'suspected', endsAt: clock + forMs, quarantines: 0 })
        return true
      case 'quarantine':
        if (existing?.state === 'quarantined') return false
        this.#entries.set(fingerprint, { fingerprint, service, state: 'quarantined', endsAt: clock + forMs, quarantines: (existing?.quarantines ?? 0) + 1 })
        return true
    }
  }

  /** @returns the given fingerprints, and that of the evicted entry if there was one */
  #evictIfFull (changed: string[]): string[] {
    if (this.#entries.size <= MAX_ENTRIES) return changed
    const [evicted] = this.all.toSorted((left, right) => EVICTION_ORDER.indexOf(left.state) - EVICTION_ORDER.indexOf(right.state) || left.endsAt - right.endsAt)
    if (evicted === undefined) return changed
    this.#entries.delete(evicted.fingerprint)
    return [...changed, evicted.fingerprint]
  }
}
