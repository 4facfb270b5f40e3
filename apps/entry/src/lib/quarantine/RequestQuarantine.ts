/** What an entry host does about requests that end the endpoints that run them: reports them, and holds back those that are known. */
import type { LostRun } from '@eelgrassmux/routing/quarantine/EndEvidence'
import type { HeldVerdict, VerdictBook } from '@eelgrassmux/routing/quarantine/VerdictBook'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { EndReporter } from './EndReporter.js'

/** Verdicts in force, and the way of what this host sees to the control hosts. */
export class RequestQuarantine {
  #logged = new Map<string, HeldVerdict>()

  /**
   * @param verdicts - as agreed
   * @param reporter - tells what this host sees
   * @param telemetry - log and metrics
   */
  constructor (private readonly verdicts: VerdictBook, private readonly reporter: Pick<EndReporter, 'noteLost' | 'noteWhole'>, private readonly telemetry: Telemetry) {
    telemetry.gauge('request_verdicts', 'Requests that are suspected, held back or on probation', () => verdicts.all.length)
  }

  /** Whether no request is watched: then none has to be identified. */
  get isIdle (): boolean { return this.verdicts.isEmpty }

  /**
   * @param fingerprint - of a request that is to be sent
   * @param now - monotonic milliseconds
   * @returns milliseconds for which it is held back; undefined if it may be sent
   */
  heldForMs (fingerprint: string, now: number): number | undefined {
    const verdict = this.verdicts.find(fingerprint)
    // Until the control hosts have agreed that it is over, it holds.
    return verdict?.state === 'quarantined' ? Math.max(0, verdict.endsAt - now) : undefined
  }

  /** @param run - a request that was lost with its endpoint */
  noteLost (run: LostRun): void {
    this.reporter.noteLost(run)
  }

  /** @param fingerprint - of a request that came through whole */
  noteWhole (fingerprint: string): void {
    if (this.verdicts.find(fingerprint) !== undefined) this.reporter.noteWhole(fingerprint)
  }

  /**
   * Logs what has changed; call after each view.
   *
   * @param view - its revision
   * @param now - monotonic milliseconds
   */
  logChanges (view: number, now: number): void {
    if (this.isIdle && this.#logged.size === 0) return
    const present = new Map(this.verdicts.all.map(verdict => [verdict.fingerprint, verdict]))
    for (const verdict of present.values()) {
      if (this.#logged.get(verdict.fingerprint)?.state !== verdict.state) this.#logVerdict(verdict, view, now)
    }
    for (const { fingerprint, service, state } of this.#logged.values()) {
      if (!present.has(fingerprint)) this.telemetry.stateChanged('verdict-over', { fingerprint, service, state, view })
    }
    this.#logged = present
  }

  #logVerdict ({ fingerprint, service, state, quarantines, endsAt }: HeldVerdict, view: number, now: number): void {
    this.telemetry.stateChanged('verdict-in-force', { fingerprint, service, state, quarantines, leftMs: Math.round(endsAt - now), view })
  }
}
