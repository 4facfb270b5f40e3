/** What an engine does with a prompt before its first event. */
import type { StoreTransfer } from '../stores/StoreLinks.js'

/** What an engine will probably do with a prompt before its first event. */
export interface PrefillPlan {
  /** Prompt tokens that it will have to prefill. */
  readonly tokensToRead: number
  /** Leading shared parts that it is told to fetch unless it holds them. */
  readonly partsFromStores: number
  /** Transfers that this will probably cause. */
  readonly transfers: readonly StoreTransfer[]
  /** Milliseconds that the transfers take, including the time they wait. */
  readonly fetchMs: number
  /** The transfer that takes longest, and by how many doublings its link is believed to exceed its stated time; undefined without transfers. */
  readonly slowest: { readonly transfer: StoreTransfer, readonly doublings: number } | undefined
  /** Cost of the transfers between data centres, in milliseconds. */
  readonly trafficCostMs: number
  /** Cost of prefilling tokens again that some engine has prefilled before, in milliseconds. */
  readonly recomputeCostMs: number
}

/** Plan for a request without a prompt. */
export const EMPTY_PREFILL_PLAN: PrefillPlan = {
  tokensToRead: 0, partsFromStores: 0, transfers: [], fetchMs: 0, slowest: undefined, trafficCostMs: 0, recomputeCostMs: 0
}
