/** Knows since when this host has led; tasks that look at intervals would miss another leader in between. */
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'

/** One term of this host's leading. */
export interface Leadership {
  readonly term: number
  /** When it was first seen, in monotonic milliseconds. */
  readonly since: number
}

/** Begins anew with each term, because another host may have led and given orders before it. */
export class LeadershipTracker {
  #current: Leadership | undefined

  /**
   * @param core - this host's replica
   * @param now - monotonic milliseconds
   * @returns the present leadership, or undefined on any other replica
   */
  observe ({ role, term }: Pick<RaftCore, 'role' | 'term'>, now: number): Leadership | undefined {
    if (role !== 'leader') this.#current = undefined
    else if (this.#current?.term !== term) this.#current = { term, since: now }
    return this.#current
  }
}
