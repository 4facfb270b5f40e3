/** The newest statement of each endpoint, as hosts have reported it. */

interface Statement<Value> {
  readonly value: Value
  readonly statedAt: number
}

/** A statement that is passed on to hosts. */
export interface RecentStatement<Value> {
  /** Incarnation. */
  readonly endpoint: string
  readonly value: Value
  readonly statedAgoMs: number
}

/** Keeps statements until they expire. */
export class NewestStatements<Value> {
  readonly #statements = new Map<string, Statement<Value>>()

  /** @param lifetimeMs - age up to which a statement is passed on, in milliseconds */
  constructor (private readonly lifetimeMs: number) {}

  /**
   * Records a statement, unless a newer one is known.
   *
   * @param endpoint - incarnation
   * @param value - what the endpoint has stated
   * @param statedAt - when a host read it, in monotonic milliseconds
   */
  observe (endpoint: string, value: Value, statedAt: number): void {
    if (statedAt >= (this.#statements.get(endpoint)?.statedAt ?? Number.NEGATIVE_INFINITY)) this.#statements.set(endpoint, { value, statedAt })
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the statements that have not expired
   */
  recent (now: number): Array<RecentStatement<Value>> {
    for (const [endpoint, { statedAt }] of this.#statements) {
      if (now - statedAt > this.lifetimeMs) this.#statements.delete(endpoint)
    }
    return [...this.#statements].map(([endpoint, { value, statedAt }]) => ({ endpoint, value, statedAgoMs: now - statedAt }))
  }
}
