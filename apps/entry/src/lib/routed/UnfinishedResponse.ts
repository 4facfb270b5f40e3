/** What a host keeps of the unfinished response to one request. */
import type { CutResponseDetails, KeptResponse, ResponseMemory } from './ResponseMemory.js'
import type { RoutedAttempt } from './RoutedAttempt.js'

/** Counts the kept bytes for the endpoint of the attempt whose response is read. */
export class UnfinishedResponse {
  #current: { readonly attempt: RoutedAttempt, readonly kept: KeptResponse } | undefined

  /**
   * @param memory - unfinished responses of all requests
   * @param cut - ends the response to an attempt, or passes on what is kept of it
   */
  constructor (private readonly memory: ResponseMemory, private readonly cut: (attempt: RoutedAttempt, details: CutResponseDetails) => void) {}

  /**
   * Responses of any request, also this one, may be cut before the call returns.
   *
   * @param attempt - attempt whose response is read
   * @param bytes - memory that the response occupies now, in bytes
   */
  update (attempt: RoutedAttempt, bytes: number): void {
    if (this.#current?.attempt !== attempt) {
      this.close()
      if (bytes === 0) return
      this.#current = { attempt, kept: this.memory.open(attempt.choice.endpoint.id, details => { this.cut(attempt, details) }) }
    }
    this.#current.kept.update(bytes)
  }

  /** Notes that nothing is kept any more. */
  close (): void {
    this.#current?.kept.close()
    this.#current = undefined
  }
}
