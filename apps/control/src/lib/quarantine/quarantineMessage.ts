/** Converts quarantine entries to the format of view messages. */
import type { QuarantineEntryMessage } from '@eelgrassmux/schema/quarantineEntry'
import type { QuarantineRegistry } from '@eelgrassmux/state/QuarantineRegistry'

/** Quarantine fields of a view message. Empty fields are omitted. */
export interface QuarantineMessage {
  quarantine?: QuarantineEntryMessage[]
  quarantineRemoved?: string[]
}

/**
 * @param register - all quarantine entries
 * @param changedFingerprints - fingerprints of requests whose entries have changed; undefined to include all entries
 * @param clock - current wall clock time in milliseconds, from which the remaining time of entries is computed
 */
export function quarantineMessage (register: QuarantineRegistry, changedFingerprints: readonly string[] | undefined, clock: number): QuarantineMessage {
  const changed = changedFingerprints === undefined ? register.all : [...new Set(changedFingerprints)].flatMap(fingerprint => register.find(fingerprint) ?? [])
  const removed = [...new Set(changedFingerprints)].filter(fingerprint => register.find(fingerprint) === undefined)
  const quarantine = changed.map(({ endsAt, ...entry }) => ({ ...entry, leftMs: Math.max(0, endsAt - clock) }))
  return { ...(quarantine.length === 0 ? {} : { quarantine }), ...(removed.length === 0 ? {} : { quarantineRemoved: removed }) }
}
