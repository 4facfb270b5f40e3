/** Runs of one entry host that callers can reconnect to. */
import { randomBytes } from 'node:crypto'
import { assertInvariant } from '@eelgrassmux/schema/invariant'

/** An entry of the registry that belongs to one customer. */
export interface OwnedRun {
  readonly customer: string
}

/** The parts of a run id. */
export interface RunId {
  /** Entry host that holds the run, as address and port. */
  readonly entry: string
  readonly secret: string
}

const RUN_ID = /^run-([0-9a-f]+)-([0-9a-f]{32})$/

/**
 * Creates a run id that contains the entry host's address and cannot be guessed.
 *
 * @param entry - address at which peers reach the entry host
 * @returns the id
 */
export function createRunId (entry: string): string {
  return `run-${Buffer.from(entry).toString('hex')}-${randomBytes(16).toString('hex')}`
}

/**
 * @param id - text that a caller sent as a run id
 * @returns the parts of the id, or undefined if it is not a run id
 */
export function parseRunId (id: string): RunId | undefined {
  const match = RUN_ID.exec(id)
  if (match?.[1] === undefined || match[2] === undefined) return undefined
  return { entry: Buffer.from(match[1], 'hex').toString('utf8'), secret: match[2] }
}

/** Finds runs by id, and only for the customer they belong to. */
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
   * @param customer - customer whose credential the request carries
   * @returns the run, or undefined if it does not exist or belongs to another customer; callers cannot tell the two apart
   */
  find (id: string, customer: string): Run | undefined {
    const run = this.#runs.get(id)
    return run?.customer === customer ? run : undefined
  }

  /** @param id - run to remove */
  remove (id: string): void {
    this.#runs.delete(id)
  }

  /** @returns all runs */
  values (): IterableIterator<Run> {
    return this.#runs.values()
  }
}
