/**
 * Rank of a request among those that wait at an engine.
 *
 * Answers the load in which engines are short of memory: a long summary holds
 * twenty times the memory of a short tag, and for longer, so whoever is urgent
 * must not queue behind it. The customer's rank goes first, then the route's;
 * what is late already waits behind all that can still be on time.
 */

/** Route ranks told apart; higher ones count as the last. */
const ROUTE_RANKS = 3

/** Customer ranks told apart; higher ones count as the last. */
const CUSTOMER_RANKS = 2

/** First rank of requests that are late: behind every customer and route rank, within the 0 to 9 that engines know. */
const LATE_RANK = CUSTOMER_RANKS * ROUTE_RANKS

/**
 * @param customerPriority - rank of the customer, 0 first; undefined if it has none
 * @param routePriority - rank of the route, 0 first
 * @param isExpectedLate - whether the request will miss its objective anyway
 */
export function engineRank (customerPriority: number | undefined, routePriority: number, isExpectedLate: boolean): number {
  const routeRank = Math.min(routePriority, ROUTE_RANKS - 1)
  if (isExpectedLate) return LATE_RANK + routeRank
  return Math.min(customerPriority ?? 0, CUSTOMER_RANKS - 1) * ROUTE_RANKS + routeRank
}
