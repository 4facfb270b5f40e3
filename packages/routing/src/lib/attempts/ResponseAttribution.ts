/**
 * Decides whether a response that arrives on a connection to an endpoint belongs to the request that was sent last.
 *
 * An endpoint may answer twice. The second response arrives where the next one is expected, so it may stand ahead of the
 * response to a later request, or to a later send of the same request.
 */

/** Most requests whose rejections one connection remembers. */
const MAX_REJECTED_REQUESTS = 64

/** What the head of a response states about its request. */
export interface AttributedHead {
  /** Id of the request; undefined if the head names none. */
  readonly requestId: string | undefined
  /** Whether it states that the endpoint did not execute the request. */
  readonly isNotExecuted: boolean
}

/** Remembers the responses of one connection. */
export class ResponseAttribution {
  #responses = 0
  #hasIds = false
  readonly #rejected = new Set<string>()

  /** Whether so many requests were rejected on the connection that it should not be reused. */
  get isFull (): boolean { return this.#rejected.size >= MAX_REJECTED_REQUESTS }

  /**
   * @param requestId - id of a request; empty if it has none
   * @returns false if the request was rejected on the connection before: a second copy of that rejection could not be distinguished from the response to the next send
   */
  mayCarry (requestId: string): boolean {
    return !this.#rejected.has(requestId)
  }

  /**
   * Records the response to the request that was sent last.
   *
   * @param requestId - id of that request; empty if it has none
   * @param head - what the response states
   * @returns why the response may belong to another send; undefined if it belongs to this one
   */
  attribute (requestId: string, head: AttributedHead): string | undefined {
    const doubt = this.#doubt(requestId, head)
    this.#responses += 1
    this.#hasIds ||= head.requestId !== undefined
    if (doubt === undefined && head.isNotExecuted) this.#rejected.add(requestId)
    return doubt
  }

  #doubt (requestId: string, head: AttributedHead): string | undefined {
    if (head.requestId !== undefined && head.requestId !== requestId) return `the answer bears the id ${head.requestId}`
    if (head.requestId === undefined && this.#hasIds) return 'the answer bears no id, unlike those before it on this connection'
    if (!head.isNotExecuted) return undefined
    if (head.requestId === undefined && this.#responses > 0) return 'the rejection bears no id and may belong to an earlier request of this connection'
    if (this.#rejected.has(requestId)) return 'the request was rejected on this connection before, so this may be a copy of that rejection'
    return undefined
  }
}
