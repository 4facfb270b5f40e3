/** Thrown when the program finds its own state to be impossible. The process must stop. */
export class InvariantViolation extends Error {
  /**
   * @param invariant - short stable name, used as a metric label
   * @param detail - what was seen
   */
  constructor (readonly invariant: string, detail: string) {
    super(`invariant ${invariant} broken: ${detail}`)
    this.name = 'InvariantViolation'
  }
}

/**
 * Asserts an invariant, in production too.
 *
 * @param condition - must be true
 * @param invariant - short stable name of the invariant
 * @param detail - computed only on failure
 * @throws InvariantViolation if the condition is false
 */
export function assertInvariant (condition: boolean, invariant: string, detail: () => string): asserts condition {
  if (!condition) throw new InvariantViolation(invariant, detail())
}

/**
 * Marks a switch as exhaustive; does not compile while a case is missing.
 *
 * @param value - the value no case matched
 */
export function unreachable (value: never): never {
  throw new InvariantViolation('exhaustive-switch', JSON.stringify(value))
}
