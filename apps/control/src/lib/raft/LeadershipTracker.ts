/** Tracks since when this host has been the leader. A task that only polls the role would miss another leader in between. */
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'

/** One term in which this host is the leader. */
export interface Leadership {
  readonly term: number
  /** Time at which the leadership was first observed, in monotonic milliseconds. */
  readonly since: number
}

/** Starts a new leadership with each term, because another host may have led and sent orders in between. */
export class LeadershipTracker {
  #current: Leadership | undefined

  /**
   * @param core - replica of this host
   * @param now - monotonic milliseconds
   * @returns the current leadership, or undefined if this replica is not the leader
   */
  observe ({ role, term }: Pick<RaftCore, 'role' | 'term'>, now: number): Leadership | undefined {
    if (role !== 'leader') this.#current = undefined
    else if (this.#current?.term !== term) this.#current = { term, since: now }
    return this.#current
  }
}
