/** In one time in which the endpoints of a service are brittle, few of them fail. */
import type { RequestCheck } from '../RequestHistory.js'

/** Failures that never break the guarantee: so many, and a share of the number of endpoints. */
const ALLOWED_FALLS = 2
const ALLOWED_SHARE = 0.1

interface BrittleTime {
  readonly slots: readonly string[]
  readonly from: number
  until: number
}

/** {@link RequestCheck} of endpoints that fail if they have to reject too many requests. */
export class BrittleEndpointsStandCheck implements RequestCheck {
  readonly guarantee = 'brittle-endpoints-stand'
  readonly #times: BrittleTime[] = []
  readonly #falls: Array<{ readonly slot: string, readonly at: number }> = []

  /**
   * Records a time that begins now.
   *
   * @param slots - slots of the endpoints that are brittle
   * @param durationMs - how long it lasts, in milliseconds
   */
  recordTime (slots: readonly string[], durationMs: number): void {
    const now = Date.now()
    const last = this.#times.at(-1)
    // Orders that overlap make one time.
    if (last !== undefined && now <= last.until) last.until = Math.max(last.until, now + durationMs)
    else this.#times.push({ slots, from: now, until: now + durationMs })
  }

  /** @param incarnation - endpoint that has just failed */
  recordFall (incarnation: string): void {
    this.#falls.push({ slot: incarnation.split('#')[0] ?? '', at: Date.now() })
  }

  onEnd (): string[] {
    return this.#times.flatMap(({ slots, from, until }) => {
      const falls = this.#falls.filter(({ slot, at }) => slots.includes(slot) && at >= from && at <= until).length
      return falls > ALLOWED_FALLS + ALLOWED_SHARE * slots.length ? [`${falls} of ${slots.length} brittle endpoints fell over`] : []
    })
  }
}
