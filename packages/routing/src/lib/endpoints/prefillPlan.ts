/** What an engine does for a prompt before its first event. */
import type { StoreTransfer } from '../stores/StoreLinks.js'

/** What an engine will probably do for a prompt before its first event. */
export interface PrefillPlan {
  /** Prompt tokens that it will have to read. */
  readonly tokensToRead: number
  /** Leading shared parts that it is told to fetch as far as it does not hold them. */
  readonly partsFromStores: number
  /** Transfers that will probably come of that. */
  readonly transfers: readonly StoreTransfer[]
  /** Milliseconds that those take, waiting included. */
  readonly fetchMs: number
  /** The transfer that takes longest, and the doublings of its link's stated time that are believed; undefined without transfers. */
  readonly slowest: { readonly transfer: StoreTransfer, readonly doublings: number } | undefined
  /** Price of reading again what somebody has read before, in milliseconds. */
  readonly againMs: number
}

/** Of a request without a prompt. */
export const EMPTY_PREFILL_PLAN: PrefillPlan = {
  tokensToRead: 0, partsFromStores: 0, transfers: [], fetchMs: 0, slowest: undefined, againMs: 0
}
