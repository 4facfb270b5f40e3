/** The quarantine as an entry host knows it. */
import type { QuarantineEntryMessage } from '@eelgrassmux/schema/quarantineEntry'

/** An entry with its end on this host's clock. */
export interface LocalQuarantineEntry extends Omit<QuarantineEntryMessage, 'leftMs'> {
  /** Monotonic milliseconds. */
  readonly endsAt: number
}

/** What a view says about the quarantine. */
export interface QuarantineTableChanges {
  /** New or changed ones, or all of them. */
  readonly quarantine: readonly QuarantineEntryMessage[]
  /** Fingerprints of requests that are not in it any more. */
  readonly quarantineRemoved: readonly string[]
}

/** Follows the views. */
export class QuarantineTable {
  #held = new Map<string, LocalQuarantineEntry>()

  /** Whether no request has to be identified. */
  get isEmpty (): boolean { return this.#held.size === 0 }
  get all (): readonly LocalQuarantineEntry[] { return [...this.#held.values()] }

  /** @param fingerprint - of a request */
  find (fingerprint: string): LocalQuarantineEntry | undefined {
    return this.#held.get(fingerprint)
  }

  /**
   * @param told - all entries
   * @param now - monotonic milliseconds
   */
  replace (told: readonly QuarantineEntryMessage[], now: number): void {
    this.#held = new Map()
    this.applyChanges({ quarantine: told, quarantineRemoved: [] }, now)
  }

  /**
   * @param changes - since the last view
   * @param now - monotonic milliseconds
   */
  applyChanges ({ quarantine, quarantineRemoved }: QuarantineTableChanges, now: number): void {
    for (const fingerprint of quarantineRemoved) this.#held.delete(fingerprint)
    for (const { leftMs, ...entry } of quarantine) this.#held.set(entry.fingerprint, { ...entry, endsAt: now + leftMs })
  }
}
