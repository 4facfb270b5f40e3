/** What the soak did to which process, and when. */

/** One act of the soak. */
export interface TimelineEntry {
  /** Wall clock, in milliseconds. */
  readonly at: number
  /** The end of what lasts; the same as `at` for what happens at once. */
  readonly until: number
  /** An incarnation such as `entry-0#2`, or all of them: `entry-0`. */
  readonly process: string
  readonly action: string
  /** Signal that was sent, if one was. */
  readonly signal?: NodeJS.Signals
  /** Whether the process could not help breaking off what it had under way. */
  readonly excusesFailures: boolean
}

/** A planned stop of an incarnation. */
export interface PlannedStop {
  readonly at: number
  /** When it is killed if it still runs. */
  readonly killAt: number
}

/** Added around each disturbance, in milliseconds: what it does to sockets is seen a little later elsewhere. */
const EFFECT_MARGIN_MS = 300

/** Keeps all actionCount in order. */
export class Timeline {
  readonly #entries: TimelineEntry[] = []
  readonly #stops = new Map<string, PlannedStop>()

  get entries (): readonly TimelineEntry[] { return this.#entries }

  /**
   * @param process - incarnation, or slot for all of its incarnations
   * @param act - what was done
   * @param excusesFailures - whether answers may break off because of it
   * @param durationMs - how long it lasts
   */
  record (process: string, action: string, excusesFailures: boolean, durationMs = 0): void {
    const at = Date.now()
    this.#entries.push({ at, until: at + durationMs, process, action, excusesFailures })
  }

  /**
   * @param incarnation - which process
   * @param excusesFailures - whether answers may break off because of it
   * @param reason - why it is killed, in a few words
   */
  recordKill (incarnation: string, excusesFailures: boolean, reason = ''): void {
    const at = Date.now()
    this.#entries.push({ at, until: at, process: incarnation, action: `SIGKILL ${reason}`.trim(), signal: 'SIGKILL', excusesFailures })
  }

  /** @returns whether an incarnation was killed by the soak */
  wasKilled (incarnation: string): boolean {
    return this.#entries.some(({ process, signal }) => process === incarnation && signal === 'SIGKILL')
  }

  /**
   * @param incarnation - which process
   * @param graceMs - time until it is killed
   */
  recordStop (incarnation: string, graceMs: number): void {
    const at = Date.now()
    this.#entries.push({ at, until: at, process: incarnation, action: `SIGTERM, grace ${graceMs} ms`, signal: 'SIGTERM', excusesFailures: false })
    this.#stops.set(incarnation, { at, killAt: at + graceMs })
  }

  /** @returns the planned stop of an incarnation, if there was one */
  stopOf (incarnation: string): PlannedStop | undefined {
    return this.#stops.get(incarnation)
  }

  /**
   * @param incarnation - which process
   * @param from - start of the time asked about
   * @param to - its end
   * @returns whether an act then excusesFailures broken answers there
   */
  isExcused (incarnation: string, from: number, to: number): boolean {
    return this.#entries.some(entry => entry.excusesFailures && isOf(entry.process, incarnation) &&
      entry.at <= to + EFFECT_MARGIN_MS && entry.until >= from - EFFECT_MARGIN_MS)
  }

  /**
   * @param slot - name of a slot, or what the names of several begin with
   * @param from - start of the time asked about
   * @param to - its end
   * @returns whether anything was done to them then, their starts included
   */
  wasDisturbed (slot: string, from: number, to: number): boolean {
    return this.#entries.some(entry => entry.process.startsWith(slot) && entry.at <= to && entry.until >= from)
  }

  /** @returns one line for each act, with seconds since the first */
  describe (): string[] {
    const start = this.#entries[0]?.at ?? 0
    return this.#entries.map(({ at, until, process, action }) => {
      const lasting = until > at ? ` for ${until - at} ms` : ''
      return `${((at - start) / 1000).toFixed(2).padStart(7)} s  ${process}  ${action}${lasting}`
    })
  }
}

function isOf (process: string, incarnation: string): boolean {
  return process === incarnation || incarnation.startsWith(`${process}#`)
}
