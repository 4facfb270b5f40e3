/** How many rejections a second an endpoint tolerates, as it states, and those that this host has caused. */

/** Rejections that are remembered. */
const MAX_REJECTIONS = 16

/** Age up to which a host reports what it has read to the others, in milliseconds: long enough for a few reports, as datagrams get lost. */
const REPORTING_MS = 2000

/** A bound that an endpoint states, as hosts report it to each other. */
export interface BrittlenessStatement {
  readonly rejectionsPerSecond: number
  readonly statedAgoMs: number
}

/** Statement of one endpoint, and rejections of this host's requests. */
export class Brittleness {
  #rejectionsPerSecond: number | undefined
  #statedAt = Number.NEGATIVE_INFINITY
  /** What this host has read last itself. */
  #observed: { readonly rejectionsPerSecond: number | undefined, readonly at: number } | undefined
  #rejectedAt: number[] = []
  #accepted = 0

  /** Rejections a second that the endpoint tolerates from all hosts together; undefined while it states no bound. */
  get rejectionsPerSecond (): number | undefined { return this.#rejectionsPerSecond }

  /**
   * @param rejectionsPerSecond - what an answer to this host states; undefined if it states nothing
   * @param now - monotonic milliseconds
   * @returns whether the statement has changed
   */
  observeAnswer (rejectionsPerSecond: number | undefined, now: number): boolean {
    if (rejectionsPerSecond !== undefined || this.#rejectionsPerSecond !== undefined) this.#observed = { rejectionsPerSecond, at: now }
    return this.#update(rejectionsPerSecond, now)
  }

  /**
   * Records what another host has read; a statement that is older than the known one is ignored.
   *
   * @param statement - statement that the other host reported
   * @param now - monotonic milliseconds
   * @returns whether the statement has changed
   */
  observeStatement ({ rejectionsPerSecond, statedAgoMs }: BrittlenessStatement, now: number): boolean {
    return this.#update(rejectionsPerSecond, now - statedAgoMs)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns statement to report to the other hosts; undefined if this host has read none recently
   */
  statement (now: number): BrittlenessStatement | undefined {
    if (this.#observed?.rejectionsPerSecond === undefined || now - this.#observed.at > REPORTING_MS) return undefined
    // With the age of a statement that came back from the others, the same statement would become newer with each report.
    return { rejectionsPerSecond: this.#observed.rejectionsPerSecond, statedAgoMs: now - this.#observed.at }
  }

  #update (rejectionsPerSecond: number | undefined, at: number): boolean {
    if (at < this.#statedAt) return false
    const hasChanged = rejectionsPerSecond !== this.#rejectionsPerSecond
    this.#rejectionsPerSecond = rejectionsPerSecond
    this.#statedAt = at
    return hasChanged
  }

  /** Requests of this host that the endpoint has accepted since it last rejected one. */
  get accepted (): number { return this.#accepted }

  /** Records that the endpoint has accepted a request of this host. */
  observeAccepted (): void {
    this.#accepted += 1
  }

  /** @param now - when the endpoint rejected a request of this host, in monotonic milliseconds */
  observeRejection (now: number): void {
    this.#accepted = 0
    this.#rejectedAt = [...this.#rejectedAt.slice(1 - MAX_REJECTIONS), now]
  }

  /**
   * @param count - number of rejections, at least 1
   * @returns when the oldest of that many newest rejections came, in monotonic milliseconds; minus infinity if there were fewer
   */
  newest (count: number): number {
    return this.#rejectedAt.at(-Math.min(count, MAX_REJECTIONS)) ?? Number.NEGATIVE_INFINITY
  }
}
