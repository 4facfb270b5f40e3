/** Entries as views carry them. */
import type { QuarantineEntryMessage } from '@eelgrassmux/schema/quarantineEntry'
import type { QuarantineRegistry } from '@eelgrassmux/state/QuarantineRegistry'

/** The part of a view that is about entries; what is absent is empty. */
export interface QuarantineMessage {
  quarantine?: QuarantineEntryMessage[]
  quarantineRemoved?: string[]
}

/**
 * @param register - all entries
 * @param changedFingerprints - requests on which the entry has changed; undefined to tell all
 * @param clock - wall clock in milliseconds, by which entries end
 */
export function quarantineMessage (register: QuarantineRegistry, changedFingerprints: readonly string[] | undefined, clock: number): QuarantineMessage {
  const changed = changedFingerprints === undefined ? register.all : [...new Set(changedFingerprints)].flatMap(fingerprint => register.find(fingerprint) ?? [])
  const gone = [...new Set(changedFingerprints)].filter(fingerprint => register.find(fingerprint) === undefined)
  const quarantine = changed.map(({ endsAt, ...entry }) => ({ ...entry, leftMs: Math.max(0, endsAt - clock) }))
  return { ...(quarantine.length === 0 ? {} : { quarantine }), ...(gone.length === 0 ? {} : { quarantineRemoved: gone }) }
}
