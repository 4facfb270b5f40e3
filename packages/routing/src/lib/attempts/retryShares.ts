/**
 * How the slack of a shared retry budget is divided between the hosts' accounts and the leader's pool.
 *
 * Retries stay within `ratio` x requests + `slack` in every window if the tokens that exist at any moment never exceed
 * the slack. Hosts that the leader counts as members hold at most {@link ACCOUNT_SHARE} and {@link SURPLUS_SHARE} of it
 * together, and the pool {@link POOL_SHARE}. Other hosts hold {@link SOLITARY_SHARE} instead, and the pool is smaller by
 * their part. An eighth of the slack remains for hosts that know of too few others and for retries that are in transit
 * when a window begins.
 */

/** Share of the slack that the leader's pool holds if all live hosts are members, including grants that may be in transit. */
export const POOL_SHARE = 1 / 2

/** Share of the slack that all members keep for their own retries. */
export const ACCOUNT_SHARE = 1 / 4

/** Share of the slack that all members hold as deposits that are not sent or not acknowledged yet. */
export const SURPLUS_SHARE = 1 / 8

/** Share of the slack that the hosts hold which are no members, as without a pool. */
export const SOLITARY_SHARE = 3 / 4

/** Window of the budget, in milliseconds; datagrams are assumed not to arrive later than this. */
export const BUDGET_WINDOW_MS = 10_000

/** Time after the question in which granted tokens may be spent, in milliseconds; the pool counts them as its own for as long. */
export const GRANT_VALIDITY_MS = 200

/** Time after its last message for which the leader counts a host as a member, in milliseconds; half a window, so that it ends before the host holds a larger share. */
export const MEMBERSHIP_MS = 5000

/** Time without an answer after which a host asks as a host that is no member, in milliseconds. */
export const UNANSWERED_LIMIT_MS = 2500
