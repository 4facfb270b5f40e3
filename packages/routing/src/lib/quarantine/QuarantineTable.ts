/** The quarantine as known to an entry host. */
import type { QuarantineEntryMessage } from '@eelgrassmux/schema/quarantineEntry'

/** An entry that ends by this host's clock. */
export interface LocalQuarantineEntry extends Omit<QuarantineEntryMessage, 'leftMs'> {
  /** Monotonic milliseconds. */
  readonly endsAt: number
}

/** Changes of the quarantine in a view. */
export interface QuarantineTableChanges {
  /** New and changed entries, or all entries. */
  readonly quarantine: readonly QuarantineEntryMessage[]
  /** Fingerprints of requests that are no longer in the quarantine. */
  readonly quarantineRemoved: readonly string[]
}

/** Quarantine entries, kept up to date from the views. */
export class QuarantineTable {
  #entries = new Map<string, LocalQuarantineEntry>()

  /** Whether there are no entries, so that requests need no fingerprint. */
  get isEmpty (): boolean { return this.#entries.size === 0 }
  get all (): readonly LocalQuarantineEntry[] { return [...this.#entries.values()] }

  /** @param fingerprint - fingerprint of a request */
  find (fingerprint: string): LocalQuarantineEntry | undefined {
    return this.#entries.get(fingerprint)
  }

  /**
   * @param entries - all entries
   * @param now - monotonic milliseconds
   */
  replace (entries: readonly QuarantineEntryMessage[], now: number): void {
    this.#entries = new Map()
    this.applyChanges({ quarantine: entries, quarantineRemoved: [] }, now)
  }

  /**
   * @param changes - changes since the last view
   * @param now - monotonic milliseconds
   */
  applyChanges ({ quarantine, quarantineRemoved }: QuarantineTableChanges, now: number): void {
    for (const fingerprint of quarantineRemoved) this.#entries.delete(fingerprint)
    for (const { leftMs, ...entry } of quarantine) this.#entries.set(entry.fingerprint, { ...entry, endsAt: now + leftMs })
  }
}
