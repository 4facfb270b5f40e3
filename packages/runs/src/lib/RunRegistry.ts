/** Runs of one entry host that callers may come back to. */
import { randomBytes } from 'node:crypto'
import { assertInvariant } from '@eelgrassmux/schema/invariant'

/** Anything that is kept under a run id for one customer. */
export interface OwnedRun {
  readonly customer: string
}

/** A run id, taken apart. */
export interface RunId {
  /** Entry host that holds the run, as address and port. */
  readonly entry: string
  readonly secret: string
}

const RUN_ID = /^run-([0-9a-f]+)-([0-9a-f]{32})$/

/**
 * Makes a run id that names its entry host and can't be guessed.
 *
 * @param entry - address of the entry host for its peers
 * @returns the id
 */
export function createRunId (entry: string): string {
  return `run-${Buffer.from(entry).toString('hex')}-${randomBytes(16).toString('hex')}`
}

/**
 * @param id - what a caller sent
 * @returns its parts, or undefined if it is not a run id
 */
export function parseRunId (id: string): RunId | undefined {
  const match = RUN_ID.exec(id)
  if (match?.[1] === undefined || match[2] === undefined) return undefined
  return { entry: Buffer.from(match[1], 'hex').toString('utf8'), secret: match[2] }
}

/** Finds runs by id, for the customer they belong to and nobody else. */
export class RunRegistry<Run extends OwnedRun> {
  readonly #runs = new Map<string, Run>()

  get size (): number { return this.#runs.size }

  /**
   * @param id - from {@link createRunId}
   * @param run - the run
   */
  add (id: string, run: Run): void {
    assertInvariant(!this.#runs.has(id), 'run-id-once', () => id)
    this.#runs.set(id, run)
  }

  /**
   * @param id - run id
   * @param customer - customer of the credential that asks
   * @returns the run, or undefined if there is none of this customer; the two cases look alike
   */
  find (id: string, customer: string): Run | undefined {
    const run = this.#runs.get(id)
    return run?.customer === customer ? run : undefined
  }

  /** @param id - run to forget */
  remove (id: string): void {
    this.#runs.delete(id)
  }

  /** @returns all runs */
  values (): IterableIterator<Run> {
    return this.#runs.values()
  }
}
