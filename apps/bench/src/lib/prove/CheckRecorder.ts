/** Records the checks of each promise in randomised runs. */

/** The guarantees that the product gives. */
export const PROMISES = [
  'no-freed-or-partial-block', 'customers-apart', 'one-weight-version', 'whole-answers', 'not-run-is-true', 'at-most-once',
  'leaving-gets-no-work', 'graceful-stop', 'configuration-never-reverts', 'complete-before-commands', 'poison-requests-stop',
  'bystanders-are-served', 'evacuations-hold', 'cold-endpoints-are-spared', 'retry-budget-kept',
  'one-software-version', 'taken-up-streams-go-on', 'crowds-are-shared', 'refused-calls-never-run', 'calls-run-once',
  'groups-survive-lost-disks'
] as const

/** @public */
export type PromiseName = typeof PROMISES[number]

/** A check that failed. */
export interface Violation {
  readonly promise: PromiseName
  readonly detail: string
  /** Number of the event at which the check failed. */
  readonly event: number
}

/** Counts the checks and collects the violations of one run. */
export class CheckRecorder {
  readonly checks = new Map<PromiseName, number>()
  readonly violations: Violation[] = []

  /** @param events - returns the number of the current event */
  constructor (private readonly events: () => number) {}

  /**
   * Records one check of a promise.
   *
   * @param promise - promise that was checked
   * @param holds - whether it held
   * @param detail - describes the violation; called only if the check failed
   */
  check (promise: PromiseName, holds: boolean, detail: () => string): void {
    this.checks.set(promise, (this.checks.get(promise) ?? 0) + 1)
    if (!holds) this.violations.push({ promise, detail: detail(), event: this.events() })
  }
}
