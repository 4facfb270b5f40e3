/**
 * Rank of a request among those that wait at an engine.
 *
 * Answers the load in which engines are short of memory: a long summary holds
 * twenty times the memory of a short tag, and for longer, so whoever is urgent
 * must not queue behind it. The customer's rank goes first, then the route's.
 */

/** Ranks that engines know, from 0, which is first. */
const LAST_RANK = 9

/** Route ranks told apart under one customer rank; higher ones count as the last. */
const ROUTE_RANKS = 3

/**
 * @param customerPriority - rank of the customer, 0 first; undefined if it has none
 * @param routePriority - rank of the route, 0 first
 */
export function engineRank (customerPriority: number | undefined, routePriority: number): number {
  const routeRank = Math.min(routePriority, ROUTE_RANKS - 1)
  return Math.min(LAST_RANK, (customerPriority ?? 0) * ROUTE_RANKS + routeRank)
}
