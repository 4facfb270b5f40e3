/** How routed requests and answers state what the product needs to know. Each platform has its own words for it. */
import type { StatedLoad } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { PromptDescription } from '@eelgrassmux/routing/prompts/promptDescription'

/** What a caller states in the headers of a request. */
export interface CallerFields {
  /** The caller's id of this one attempt; undefined if there is none. */
  readonly requestId: string | undefined
  readonly key: string | undefined
  /** How long the caller waits, from sending; undefined if it does not say. */
  readonly deadlineMs: number | undefined
  readonly prompt: PromptDescription | undefined
  /** Event behind which the caller wants a stream to go on. */
  readonly lastEventId: number | undefined
}

/** What the product states towards an endpoint. */
export interface EndpointFields {
  /** Any other instance at the address must not run the request. */
  readonly instance: string
  readonly remainingMs: number
  readonly customer: string | undefined
  readonly lastEventId: number | undefined
  /** Rank among the endpoint's waiting requests; 0 is first. */
  readonly priority: number | undefined
  /** Engines with other weights must not run the request. */
  readonly version: number | undefined
  /** Under which the engine keeps the prompt's parts. */
  readonly cacheSalt: string | undefined
  /** Stores from which the engine fetches parts of the prompt and to which it saves them, one entry a part. */
  readonly stores: StoreTransfers | undefined
}

/** Transfers between an engine and stores for one prompt. */
export interface StoreTransfers {
  readonly fetches: ReadonlyArray<string | undefined>
  readonly saves: ReadonlyArray<string | undefined>
  /** On the stores' clock: a fetch that has not ended by then is thrown away. */
  readonly fetchUntilMs: number | undefined
}

/** What an endpoint states in the headers of an answer. */
export interface ResponseFields {
  readonly requestId: string | undefined
  /** The endpoint certainly did not run the request. */
  readonly isNotExecuted: boolean
  /** Instance that answered, if it says so. */
  readonly instance: string | undefined
  readonly load: StatedLoad | undefined
  /** Version of the weights that it holds. */
  readonly version: number | undefined
  /** Requests a second that it takes from all hosts together, for as long as it says so. */
  readonly requestsPerSecond: number | undefined
  /** It takes no new work for much longer. */
  readonly isLeaving: boolean
  /** Of a rejection: milliseconds for which the endpoint wants nothing more from this host. */
  readonly retryAfterMs: number | undefined
}

/** Translates headers; lists of names and values by turns, as they came. */
export interface RequestCodec {
  /** @param headers - of a caller's request */
  readRequestHeaders (headers: readonly string[]): CallerFields
  /**
   * @param headers - of the caller's request
   * @param fields - what the product adds or replaces
   * @returns headers for the endpoint
   */
  writeRequestHeaders (headers: readonly string[], fields: EndpointFields): string[]
  /**
   * @param status - of the endpoint's answer
   * @param headers - of the endpoint's answer
   */
  readResponseHeaders (status: number, headers: readonly string[]): ResponseFields
}
