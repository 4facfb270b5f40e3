/** What an entry host does about requests that crash the endpoints that run them: reports them, and quarantines those that are known. */
import type { LostRequest } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import type { LocalQuarantineEntry, QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { CrashReporter } from './CrashReporter.js'

/** Entries in force, and the way of what this host sees to the control hosts. */
export class RequestQuarantine {
  #logged = new Map<string, LocalQuarantineEntry>()

  /**
   * @param table - as agreed
   * @param reporter - tells what this host sees
   * @param telemetry - log and metrics
   */
  constructor (private readonly table: QuarantineTable, private readonly reporter: Pick<CrashReporter, 'noteLost' | 'noteWhole'>, private readonly telemetry: Telemetry) {
    telemetry.gauge('quarantine_entries', 'Requests that are suspected, quarantined or on probation', () => table.all.length)
  }

  /** Whether no request is watched: then none has to be identified. */
  get isIdle (): boolean { return this.table.isEmpty }

  /**
   * @param fingerprint - of a request that is to be sent
   * @param now - monotonic milliseconds
   * @returns milliseconds for which it is quarantined; undefined if it may be sent
   */
  quarantinedForMs (fingerprint: string, now: number): number | undefined {
    const entry = this.table.find(fingerprint)
    // Until the control hosts have agreed that it is over, it holds.
    return entry?.state === 'quarantined' ? Math.max(0, entry.endsAt - now) : undefined
  }

  /** @param run - a request that was lost with its endpoint */
  noteLost (run: LostRequest): void {
    this.reporter.noteLost(run)
  }

  /** @param fingerprint - of a request that came through whole */
  noteWhole (fingerprint: string): void {
    if (this.table.find(fingerprint) !== undefined) this.reporter.noteWhole(fingerprint)
  }

  /**
   * Logs what has changed; call after each view.
   *
   * @param view - its revision
   * @param now - monotonic milliseconds
   */
  logChanges (view: number, now: number): void {
    if (this.isIdle && this.#logged.size === 0) return
    const present = new Map(this.table.all.map(entry => [entry.fingerprint, entry]))
    for (const entry of present.values()) {
      if (this.#logged.get(entry.fingerprint)?.state !== entry.state) this.#logEntry(entry, view, now)
    }
    for (const { fingerprint, service, state } of this.#logged.values()) {
      if (!present.has(fingerprint)) this.telemetry.stateChanged('quarantine-removed', { fingerprint, service, state, view })
    }
    this.#logged = present
  }

  #logEntry ({ fingerprint, service, state, quarantines, endsAt }: LocalQuarantineEntry, view: number, now: number): void {
    this.telemetry.stateChanged('quarantine-in-force', { fingerprint, service, state, quarantines, leftMs: Math.round(endsAt - now), view })
  }
}
