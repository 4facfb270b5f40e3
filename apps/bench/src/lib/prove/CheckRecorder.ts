/** What randomised runs found about each promise. */

/** The promises of the product. */
export const PROMISES = [
  'no-freed-or-partial-block', 'customers-apart', 'one-weight-version', 'whole-answers', 'not-run-is-true', 'at-most-once',
  'leaving-gets-no-work', 'graceful-stop', 'configuration-never-reverts', 'complete-before-commands', 'poison-requests-stop',
  'bystanders-are-served', 'evacuations-hold', 'cold-endpoints-are-spared'
] as const

/** @public */
export type PromiseName = typeof PROMISES[number]

/** A promise that did not hold. */
export interface Violation {
  readonly promise: PromiseName
  readonly detail: string
  /** Number of the event at which it was seen. */
  readonly event: number
}

/** Counts of one run. */
export class CheckRecorder {
  readonly checks = new Map<PromiseName, number>()
  readonly violations: Violation[] = []

  /** @param events - number of the present event */
  constructor (private readonly events: () => number) {}

  /**
   * Checks a promise once.
   *
   * @param promise - which one
   * @param holds - whether it held
   * @param detail - what was seen if it did not
   */
  check (promise: PromiseName, holds: boolean, detail: () => string): void {
    this.checks.set(promise, (this.checks.get(promise) ?? 0) + 1)
    if (!holds) this.violations.push({ promise, detail: detail(), event: this.events() })
  }
}
