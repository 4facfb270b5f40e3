/**
 * Ranks waiting requests; the leader and a host that waits without a leader use the same rank.
 *
 * Ranking by age alone makes every request late as soon as demand exceeds capacity for a while. Requests that can still
 * meet their objective therefore go first, and a late one waits behind them while its caller waits anyway.
 */
import type { WaitingRequest } from './waitingMessages.js'

/** Rank of a request that goes before all others. */
export const FIRST_RANK = -1

/** Share of its caller's patience after which a request goes first, so that no urgency, size or customer starves; the rest is left for its work. */
export const PATIENCE_SHARE_BEFORE_FIRST = 5 / 8

/** Added to the urgency of a request that will miss its objective; larger than any urgency. */
const LATE_RANK = 1000

/**
 * @param request - the request, with its age and its caller's remaining patience as of now
 * @returns the rank; lower ranks go first
 */
export function waitingRank (
  { urgency, ageMs, objectiveMs, patienceMs, workMs }: Pick<WaitingRequest, 'urgency' | 'ageMs' | 'objectiveMs' | 'patienceMs' | 'workMs'>
): number {
  if (ageMs >= (ageMs + patienceMs) * PATIENCE_SHARE_BEFORE_FIRST) return FIRST_RANK
  return ageMs + workMs <= objectiveMs ? urgency : LATE_RANK + urgency
}
