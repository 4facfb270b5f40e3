/** Thrown when an internal invariant is violated. The process must stop. */
export class InvariantViolation extends Error {
  /**
   * @param invariant - short stable name, used as a metric label
   * @param detail - the state that violates the invariant
   */
  constructor (readonly invariant: string, detail: string) {
    super(`invariant ${invariant} broken: ${detail}`)
    this.name = 'InvariantViolation'
  }
}

/**
 * Asserts an invariant, including in production.
 *
 * @param condition - must be true
 * @param invariant - short stable name of the invariant
 * @param detail - returns the detail of the error; called only on failure
 * @throws InvariantViolation if the condition is false
 */
export function assertInvariant (condition: boolean, invariant: string, detail: () => string): asserts condition {
  if (!condition) throw new InvariantViolation(invariant, detail())
}

/**
 * Marks a switch as exhaustive: the code does not compile while a case is missing.
 *
 * @param value - value that matched no case
 */
export function unreachable (value: never): never {
  throw new InvariantViolation('exhaustive-switch', JSON.stringify(value))
}
