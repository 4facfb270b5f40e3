/** Headers of the soak's requests and answers: the smallest words that carry what the product needs. */

export const HEADER = {
  requestId: 'request-id',
  key: 'key',
  customer: 'customer',
  deadlineMs: 'deadline-ms',
  lastEvent: 'last-event-id',
  /** Endpoint instance that a request is meant for. */
  instance: 'instance',
  answeredBy: 'answered-by',
  notRun: 'not-run',
  model: 'model',
  promptTokens: 'prompt-tokens',
  /** Version of the weights: the one wanted in a request, the one held in an answer. */
  version: 'version',
  cacheSalt: 'cache-salt',
  /** Requests a second that the endpoint takes from all hosts together. */
  rateLimit: 'rate-limit',
  /** Of answers: `1` if the endpoint is about to end. */
  leaving: 'leaving',
  /** Of rejections: seconds for which the endpoint wants nothing more from that host. */
  retryAfter: 'retry-after',
  /** What the endpoint stand-in is to do; see {@link workSchema}. */
  work: 'work'
} as const

/**
 * @param headers - names and values by turns
 * @param name - in lower case
 * @returns the first value
 */
export function headerValue (headers: readonly string[], name: string): string | undefined {
  const at = headers.findIndex((header, index) => index % 2 === 0 && header.toLowerCase() === name)
  return at < 0 ? undefined : headers[at + 1]
}
