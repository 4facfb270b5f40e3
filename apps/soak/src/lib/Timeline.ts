/** Chronological record of what the soak did to which process. */

/** One action of the soak, or one event of a process. */
export interface TimelineEntry {
  /** Wall clock, in milliseconds. */
  readonly at: number
  /** When the action ends; equal to `at` for an action without duration. */
  readonly until: number
  /** An incarnation such as `entry-0#2`, or a slot such as `entry-0`, which stands for all its incarnations. */
  readonly process: string
  readonly action: string
  /** Signal that was sent, if any. */
  readonly signal?: NodeJS.Signals
  /** Whether the process could not avoid cutting off its requests because of the action. */
  readonly excusesFailures: boolean
}

/** A planned stop of an incarnation. */
export interface PlannedStop {
  readonly at: number
  /** When the incarnation is killed if it is still running. */
  readonly killAt: number
}

/** Action of a process that has started. */
export const STARTED = 'started'

/** Margin before and after each disturbance, in milliseconds: other processes notice its effect on their sockets a little later. */
const EFFECT_MARGIN_MS = 300

/** Records all actions in order. */
export class Timeline {
  readonly #entries: TimelineEntry[] = []
  readonly #stops = new Map<string, PlannedStop>()

  get entries (): readonly TimelineEntry[] { return this.#entries }

  /**
   * Records an action.
   *
   * @param process - an incarnation, or a slot for all of its incarnations
   * @param action - description of the action
   * @param excusesFailures - whether answers may be cut off because of the action
   * @param durationMs - how long the action lasts
   */
  record (process: string, action: string, excusesFailures: boolean, durationMs = 0): void {
    const at = Date.now()
    this.#entries.push({ at, until: at + durationMs, process, action, excusesFailures })
  }

  /**
   * Records a SIGKILL.
   *
   * @param incarnation - process that is killed
   * @param excusesFailures - whether answers may be cut off because of the kill
   * @param reason - why the process is killed, in a few words
   */
  recordKill (incarnation: string, excusesFailures: boolean, reason = ''): void {
    const at = Date.now()
    this.#entries.push({ at, until: at, process: incarnation, action: `SIGKILL ${reason}`.trim(), signal: 'SIGKILL', excusesFailures })
  }

  /** @returns whether the soak killed the incarnation */
  wasKilled (incarnation: string): boolean {
    return this.#entries.some(({ process, signal }) => process === incarnation && signal === 'SIGKILL')
  }

  /**
   * Records a SIGTERM.
   *
   * @param incarnation - process that is stopped
   * @param graceMs - time until the process is killed
   */
  recordStop (incarnation: string, graceMs: number): void {
    const at = Date.now()
    this.#entries.push({ at, until: at, process: incarnation, action: `SIGTERM, grace ${graceMs} ms`, signal: 'SIGTERM', excusesFailures: false })
    this.#stops.set(incarnation, { at, killAt: at + graceMs })
  }

  /** @returns the planned stop of the incarnation; undefined if there was none */
  stopOf (incarnation: string): PlannedStop | undefined {
    return this.#stops.get(incarnation)
  }

  /**
   * @param incarnation - process to look up
   * @param from - start of the interval
   * @param to - end of the interval
   * @returns whether an action in this interval excuses answers that the process cut off
   */
  isExcused (incarnation: string, from: number, to: number): boolean {
    return this.#entries.some(entry => entry.excusesFailures && isOf(entry.process, incarnation) &&
      entry.at <= to + EFFECT_MARGIN_MS && entry.until >= from - EFFECT_MARGIN_MS)
  }

  /**
   * @param slot - name of a slot, or common prefix of several names
   * @param from - start of the interval
   * @param to - end of the interval
   * @returns whether any action in this interval concerned these slots, including starts of their processes
   */
  wasDisturbed (slot: string, from: number, to: number): boolean {
    return this.#entries.some(entry => entry.process.startsWith(slot) && entry.at <= to && entry.until >= from)
  }

  /**
   * @param slot - name of a slot
   * @param from - start of the interval
   * @param to - end of the interval
   * @returns whether one process of the slot ran for the whole interval, and was neither paused nor sent a signal to stop
   */
  ranThrough (slot: string, from: number, to: number): boolean {
    const ofSlot = this.#entries.filter(({ process, at }) => process.startsWith(`${slot}#`) && at <= to)
    const latest = ofSlot.findLast(({ action }) => action === STARTED)
    if (latest === undefined || latest.at > from) return false
    return !ofSlot.some(({ process, action, signal, until }) => process === latest.process && (action.startsWith('exited') || (action.startsWith('SIG') && (signal !== undefined || until >= from))))
  }

  /** @returns one line for each action, with the seconds since the first one */
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
