/**
 * Scheduling rank of a request in the queue of an engine.
 *
 * Ranks matter when engines are short of memory. A long summary holds twenty times the
 * memory of a short tag, and holds it for longer, so an urgent request must not queue
 * behind it. The rank orders requests by the priority of their customer and then of their
 * route. Requests that are already late queue behind all that can still be on time.
 */

/** Number of distinct route ranks; higher priorities are clamped to the last rank. */
const ROUTE_RANKS = 3

/** Number of distinct customer ranks; higher priorities are clamped to the last rank. */
const CUSTOMER_RANKS = 2

/** First rank of late requests. It is behind every customer and route rank, and within the ranks 0 to 9 that engines accept. */
const LATE_RANK = CUSTOMER_RANKS * ROUTE_RANKS

/**
 * @param customerPriority - priority of the customer, 0 being the highest; undefined if there is no customer or it has no priority
 * @param routePriority - priority of the route, 0 being the highest
 * @param isExpectedLate - whether the request is expected to miss its latency objective
 */
export function engineRank (customerPriority: number | undefined, routePriority: number, isExpectedLate: boolean): number {
  const routeRank = Math.min(routePriority, ROUTE_RANKS - 1)
  if (isExpectedLate) return LATE_RANK + routeRank
  return Math.min(customerPriority ?? 0, CUSTOMER_RANKS - 1) * ROUTE_RANKS + routeRank
}
