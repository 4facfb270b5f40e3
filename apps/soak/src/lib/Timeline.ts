/** What the soak did to which process, and when. */

/** One act of the soak. */
export interface TimeLineEntry {
  /** Wall clock, in milliseconds. */
  readonly at: number
  /** The end of what lasts; the same as `at` for what happens at once. */
  readonly until: number
  /** An incarnation such as `entry-0#2`, or all of them: `entry-0`. */
  readonly process: string
  readonly act: string
  /** Signal that was sent, if one was. */
  readonly signal?: NodeJS.Signals
  /** Whether the process could not help breaking off what it had under way. */
  readonly excuses: boolean
}

/** A planned stop of an incarnation. */
export interface PlannedStop {
  readonly at: number
  /** When it is killed if it still runs. */
  readonly killAt: number
}

/** Added around each disturbance, in milliseconds: what it does to sockets is seen a little later elsewhere. */
const EFFECT_MARGIN_MS = 300

/** Keeps all acts in order. */
export class TimeLine {
  readonly #entries: TimeLineEntry[] = []
  readonly #stops = new Map<string, PlannedStop>()

  get entries (): readonly TimeLineEntry[] { return this.#entries }

  /**
   * @param process - incarnation, or slot for all of its incarnations
   * @param act - what was done
   * @param excuses - whether answers may break off because of it
   * @param durationMs - how long it lasts
   */
  note (process: string, act: string, excuses: boolean, durationMs = 0): void {
    const at = Date.now()
    this.#entries.push({ at, until: at + durationMs, process, act, excuses })
  }

  /**
   * @param incarnation - which process
   * @param excuses - whether answers may break off because of it
   * @param reason - why it is killed, in a few words
   */
  noteKill (incarnation: string, excuses: boolean, reason = ''): void {
    const at = Date.now()
    this.#entries.push({ at, until: at, process: incarnation, act: `SIGKILL ${reason}`.trim(), signal: 'SIGKILL', excuses })
  }

  /** @returns whether an incarnation was killed by the soak */
  wasKilled (incarnation: string): boolean {
    return this.#entries.some(({ process, signal }) => process === incarnation && signal === 'SIGKILL')
  }

  /**
   * @param incarnation - which process
   * @param graceMs - time until it is killed
   */
  noteStop (incarnation: string, graceMs: number): void {
    const at = Date.now()
    this.#entries.push({ at, until: at, process: incarnation, act: `SIGTERM, grace ${graceMs} ms`, signal: 'SIGTERM', excuses: false })
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
   * @returns whether an act then excuses broken answers there
   */
  isExcused (incarnation: string, from: number, to: number): boolean {
    return this.#entries.some(entry => entry.excuses && isOf(entry.process, incarnation) &&
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
    return this.#entries.map(({ at, until, process, act }) => {
      const lasting = until > at ? ` for ${until - at} ms` : ''
      return `${((at - start) / 1000).toFixed(2).padStart(7)} s  ${process}  ${act}${lasting}`
    })
  }
}

function isOf (process: string, incarnation: string): boolean {
  return process === incarnation || incarnation.startsWith(`${process}#`)
}
