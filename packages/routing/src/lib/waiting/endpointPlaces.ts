/** Computes how many calls an endpoint of a plain service may have at once. */

/**
 * Share of the shortest latency objective for which a call may wait at the endpoint. Hosts learn with a delay that a
 * place is free, and calls that wait there keep the slots in use meanwhile.
 */
const QUEUE_SHARE_OF_OBJECTIVE = 1 / 2

/**
 * Share of the occupancy at which the endpoint last rejected a call. Hosts learn of each other's calls with a delay,
 * in which further calls arrive.
 */
const SHARE_OF_REJECTED_OCCUPANCY = 0.9

/** Figures of an endpoint. */
export interface PlaceFigures {
  /** Calls that the endpoint works on at once. */
  readonly slots: number
  /** Mean duration of an answer, in milliseconds; undefined if unknown. */
  readonly workMs: number | undefined
  /** Shortest latency objective of the routes to the service, in milliseconds. */
  readonly objectiveMs: number
  /** Calls that were at the endpoint when it last rejected one; undefined if it has rejected none. */
  readonly rejectedAt: number | undefined
}

/**
 * Computes the places of an endpoint: its slots, and as many more as it works off within half of the shortest latency
 * objective.
 *
 * @param figures - figures of the endpoint
 * @returns number of calls, at least one and no fewer than the slots
 */
export function countPlaces ({ slots, workMs, objectiveMs, rejectedAt }: PlaceFigures): number {
  const queued = workMs === undefined || workMs <= 0 ? 0 : Math.floor(slots * objectiveMs * QUEUE_SHARE_OF_OBJECTIVE / workMs)
  // An endpoint that rejects a call while slots are free is not full but leaving, starting or failing. Limited to the
  // calls that it had then, it would stay nearly unused for seconds.
  const limit = rejectedAt === undefined || rejectedAt < slots ? Number.POSITIVE_INFINITY : Math.floor(rejectedAt * SHARE_OF_REJECTED_OCCUPANCY)
  return Math.max(1, slots, Math.min(slots + queued, limit))
}
