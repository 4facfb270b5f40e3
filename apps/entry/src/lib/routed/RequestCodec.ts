/** Translation of request and response headers to the fields that the product uses. Each platform has its own header names. */
import type { StatedLoad } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { PromptDescription } from '@eelgrassmux/routing/prompts/promptDescription'

/** Fields that a caller states in the headers of a request. */
export interface CallerFields {
  /** The caller's id of this attempt; undefined if it states none. */
  readonly requestId: string | undefined
  readonly key: string | undefined
  /** How long the caller waits after sending the request, in milliseconds; undefined if it states no limit. */
  readonly deadlineMs: number | undefined
  readonly prompt: PromptDescription | undefined
  /** Id of the event after which the caller wants a stream to resume. */
  readonly lastEventId: number | undefined
  /** Id of the attempt that brought the first event of the stream that the caller wants to resume; absent if it names none. */
  readonly resumes?: string | undefined
}

/** Fields that the product adds to a request to an endpoint. */
export interface EndpointFields {
  /** Instance that the request is meant for; any other instance at the address must not execute it. */
  readonly instance: string
  readonly remainingMs: number
  readonly customer: string | undefined
  readonly lastEventId: number | undefined
  /** Rank among the endpoint's waiting requests; 0 is first. */
  readonly priority: number | undefined
  /** Version of the weights; engines with other weights must not execute the request. */
  readonly version: number | undefined
  /** Key under which the engine caches the prompt's parts. */
  readonly cacheSalt: string | undefined
  /** Id of a reservation at the engine, which the request uses; absent if it has none. */
  readonly reservation?: string | undefined
  /** Stores from which the engine fetches parts of the prompt and to which it saves them, with one entry for each part. */
  readonly stores: StoreTransfers | undefined
}

/** Transfers between an engine and stores for one prompt. */
export interface StoreTransfers {
  readonly fetches: ReadonlyArray<string | undefined>
  readonly saves: ReadonlyArray<string | undefined>
  /** Time limit of the fetches on the stores' clock; the result of a fetch that ends later is discarded. */
  readonly fetchUntilMs: number | undefined
}

/** Fields that an endpoint states in the headers of a response. */
export interface ResponseFields {
  readonly requestId: string | undefined
  /** Whether the endpoint states that it did not execute the request. */
  readonly isNotExecuted: boolean
  /** Instance that responded, if it is stated. */
  readonly instance: string | undefined
  readonly load: StatedLoad | undefined
  /** Version of the weights that the endpoint has loaded. */
  readonly version: number | undefined
  /** Requests a second that the endpoint accepts from all hosts together; the limit applies until a response without it. */
  readonly requestsPerSecond: number | undefined
  /** Rejections a second that the endpoint tolerates from all hosts together before it fails; absent if it states no bound. */
  readonly rejectionsPerSecond?: number | undefined
  /** Whether the endpoint is about to stop accepting requests. */
  readonly isLeaving: boolean
  /** Milliseconds for which this host should send nothing more to the endpoint after a rejection. */
  readonly retryAfterMs: number | undefined
}

/** Translates headers, which are lists of alternating names and values in the order in which they arrived. */
export interface RequestCodec {
  /** @param headers - headers of a caller's request */
  readRequestHeaders (headers: readonly string[]): CallerFields
  /**
   * @param headers - headers of the caller's request
   * @param fields - fields that the product adds or replaces
   * @returns headers of the request to the endpoint
   */
  writeRequestHeaders (headers: readonly string[], fields: EndpointFields): string[]
  /**
   * @param status - status of the endpoint's response
   * @param headers - headers of the endpoint's response
   */
  readResponseHeaders (status: number, headers: readonly string[]): ResponseFields
}
