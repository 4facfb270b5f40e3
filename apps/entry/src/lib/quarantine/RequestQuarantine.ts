/** Reports requests that may have crashed endpoints, and enforces the quarantine that the control hosts have decided. */
import type { LostRequest } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import type { LocalQuarantineEntry, QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { CrashReporter } from './CrashReporter.js'

/** What is reported to the control hosts. */
export type QuarantineReporter = Pick<CrashReporter, 'noteLost' | 'noteWhole' | 'notePartsLost' | 'notePartsSound' | 'isDisproved'>

/** Quarantine entries in force, and the reporter for this host's observations. */
export class RequestQuarantine {
  #logged = new Map<string, LocalQuarantineEntry>()

  /**
   * @param table - quarantine entries agreed on by the control hosts
   * @param reporter - reports observations to the control hosts
   * @param telemetry - event log and metrics
   */
  constructor (private readonly table: QuarantineTable, private readonly reporter: QuarantineReporter, private readonly telemetry: Telemetry) {
    telemetry.gauge('quarantine_entries', 'Requests that are suspected, quarantined or on probation', () => table.all.length)
  }

  /** Whether there are no entries; requests need no fingerprint then. */
  get isEmpty (): boolean { return this.table.isEmpty }

  /**
   * @param fingerprint - fingerprint of a request to be sent
   * @param now - current time, in monotonic milliseconds
   * @returns remaining milliseconds of its quarantine; undefined if it may be sent
   */
  quarantinedForMs (fingerprint: string, now: number): number | undefined {
    const entry = this.table.find(fingerprint)
    // An expired entry stays in force until the control hosts have agreed to end it.
    return entry?.state === 'quarantined' ? Math.max(0, entry.endsAt - now) : undefined
  }

  /** @param run - request that was lost with its endpoint */
  noteLost (run: LostRequest): void {
    this.reporter.noteLost(run)
  }

  /** @param fingerprint - fingerprint of a completed request */
  noteWhole (fingerprint: string): void {
    if (this.table.find(fingerprint) !== undefined) this.reporter.noteWhole(fingerprint)
  }

  /** @param parts - parts of a request that was lost with its endpoint before it had begun to answer */
  notePartsLost (parts: readonly LostRequest[]): void {
    this.reporter.notePartsLost(parts)
  }

  /** @param fingerprints - fingerprints of the shared parts of a request that has made progress, so that they did not cause earlier crashes */
  notePartsSound (fingerprints: readonly string[]): void {
    this.reporter.notePartsSound(fingerprints)
    if (!this.isEmpty) for (const fingerprint of fingerprints) this.noteWhole(fingerprint)
  }

  /**
   * Logs changed entries, and reports suspicions that this host can disprove; must be called after each view.
   *
   * @param view - revision of the view
   * @param now - current time, in monotonic milliseconds
   */
  logChanges (view: number, now: number): void {
    if (this.isEmpty && this.#logged.size === 0) return
    const present = new Map(this.table.all.map(entry => [entry.fingerprint, entry]))
    for (const entry of present.values()) {
      if (this.#logged.get(entry.fingerprint)?.state === entry.state) continue
      this.#logEntry(entry, view, now)
      if (entry.state === 'suspected' && this.reporter.isDisproved(entry.fingerprint)) this.reporter.noteWhole(entry.fingerprint)
    }
    for (const { fingerprint, service, state } of this.#logged.values()) {
      if (!present.has(fingerprint)) this.telemetry.logStateChange('quarantine-removed', { fingerprint, service, state, view })
    }
    this.#logged = present
  }

  #logEntry ({ fingerprint, service, state, quarantines, endsAt }: LocalQuarantineEntry, view: number, now: number): void {
    this.telemetry.logStateChange('quarantine-in-force', { fingerprint, service, state, quarantines, leftMs: Math.round(endsAt - now), view })
  }
}
