/** Bounds the memory that unfinished responses of endpoints occupy: events without an end, and bodies that are kept for a retry. */
import { entryMemoryBudget } from '@eelgrassmux/daemon/MemoryBudget'
import { HeldBytes, type HeldBytesBounds, type HeldChunk, type HeldReader } from '@eelgrassmux/routing/admission/HeldBytes'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Why a response is cut. */
export type CutResponseDetails = DecisionFields<'response-cut'>

/** Ends a response that is cut, or passes on what is kept of it. */
type CutResponse = (details: CutResponseDetails) => void

/** Least bytes that are counted; usual events and bodies are smaller. */
const COUNTED_FROM_BYTES = 4 * 1024

/** Part of the bound on all unfinished responses which those of one endpoint may occupy while others have any. */
const ENDPOINT_SHARE = 1 / 2

/**
 * @param memoryMb - memory of the host in megabytes; 0 if it is not known
 * @returns bounds on the bytes of all unfinished responses and of those of one endpoint
 */
export function responseMemoryBounds (memoryMb: number): HeldBytesBounds {
  const totalBytes = entryMemoryBudget(memoryMb).mostOfResponses.unfinished
  return { totalBytes, customerBytes: Math.floor(totalBytes * ENDPOINT_SHARE) }
}

/** What is kept of one response. */
export class KeptResponse {
  #chunk: HeldChunk | undefined
  #bytes = 0

  /**
   * @param reader - counts the bytes
   * @param keepBounds - cuts responses while a bound is exceeded
   */
  constructor (private readonly reader: HeldReader<CutResponse>, private readonly keepBounds: () => void) {}

  /**
   * Responses, also this one, may be cut before the call returns.
   *
   * @param bytes - memory that is occupied now, in bytes
   */
  update (bytes: number): void {
    const counted = bytes < COUNTED_FROM_BYTES ? 0 : bytes
    if (counted === this.#bytes) return
    const hasGrown = counted > this.#bytes
    this.#bytes = counted
    if (this.#chunk !== undefined) this.reader.release(this.#chunk)
    this.#chunk = counted === 0 ? undefined : this.reader.hold(counted, performance.now())
    if (hasGrown) this.keepBounds()
  }

  /** Releases everything, for good. */
  close (): void {
    this.reader.close()
  }
}

/** The unfinished responses of this host. */
export class ResponseMemory {
  readonly #held: HeldBytes<CutResponse>
  readonly #cuts: LabelledCounter

  /**
   * @param bounds - bounds on the bytes
   * @param telemetry - metrics
   */
  constructor (bounds: HeldBytesBounds, telemetry: Telemetry) {
    this.#held = new HeldBytes(bounds)
    this.#cuts = telemetry.labelledCounter('responses_cut_total', 'Responses of endpoints that were cut because unfinished ones occupied too much memory', 'endpoint')
    telemetry.gauge('unfinished_response_bytes', 'Memory that unfinished responses of endpoints occupy, in bytes', () => this.#held.totalBytes)
    telemetry.gauge('unfinished_response_bytes_largest_endpoint', 'Memory that the unfinished responses of the endpoint with most of them occupy, in bytes', () => this.#held.largestCustomerBytes)
  }

  /** Memory that all unfinished responses occupy, in bytes. */
  get totalBytes (): number { return this.#held.totalBytes }

  /**
   * @param endpoint - id of the endpoint
   * @param cut - ends the response if it is cut
   * @returns a response of which nothing is kept yet
   */
  open (endpoint: string, cut: CutResponse): KeptResponse {
    return new KeptResponse(this.#held.open(cut, endpoint), () => { this.#keepBounds() })
  }

  #keepBounds (): void {
    const now = performance.now()
    for (let reader = this.#held.readerToCut(now); reader !== undefined; reader = this.#held.readerToCut(now)) this.#cut(reader)
  }

  #cut (reader: HeldReader<CutResponse>): void {
    const { owner: cut, customer: endpoint, bytes } = reader
    const details = { endpoint, keptBytes: bytes, endpointBytes: this.#held.customerBytes(endpoint), totalBytes: this.#held.totalBytes }
    // Closed first, so that the loop ends.
    reader.close()
    this.#cuts.count(endpoint)
    cut(details)
  }
}
