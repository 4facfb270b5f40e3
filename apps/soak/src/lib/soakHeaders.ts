/** Headers of the requests and answers in the soak: a minimal set that carries the fields that the product needs. */

export const HEADER = {
  requestId: 'request-id',
  key: 'key',
  customer: 'customer',
  deadlineMs: 'deadline-ms',
  lastEvent: 'last-event-id',
  /** Request id of the attempt that brought the first event of a stream that is taken up. */
  resumes: 'resumes',
  /** Endpoint incarnation that a request is meant for. */
  instance: 'instance',
  answeredBy: 'answered-by',
  notRun: 'not-run',
  model: 'model',
  promptTokens: 'prompt-tokens',
  /** Id of the shared part of the prompt, if it has one. */
  part: 'part',
  /** Version of the weights: in a request the required one, in an answer the loaded one. */
  version: 'version',
  cacheSalt: 'cache-salt',
  /** Number of requests per second that the endpoint accepts from all hosts together. */
  rateLimit: 'rate-limit',
  /** In answers: number of rejections in a second that the endpoint tolerates from all hosts together. */
  brittle: 'brittle',
  /** In answers: `1` if the endpoint is about to exit. */
  leaving: 'leaving',
  /** In rejections: number of seconds for which the host is to send nothing to the endpoint. */
  retryAfter: 'retry-after',
  /** In answers of an endpoint on a slow machine: running requests, waiting requests, slots, and the pace in hundredths, separated by commas. */
  load: 'load',
  /** What the endpoint stand-in is to do, as JSON; see {@link workSchema}. */
  work: 'work'
} as const

/**
 * @param headers - names and values alternately
 * @param name - header name in lower case
 * @returns the first value of the header; undefined if it is absent
 */
export function headerValue (headers: readonly string[], name: string): string | undefined {
  const at = headers.findIndex((header, index) => index % 2 === 0 && header.toLowerCase() === name)
  return at < 0 ? undefined : headers[at + 1]
}
