/**
 * Bounds the bytes of requests that are in transit to one endpoint from this host.
 *
 * A request is in transit from its send until the endpoint begins to answer. The bound of a service is learnt from
 * endpoints that ended or rejected a request with many bytes in transit, and is forgotten over minutes.
 */

/** Fewest bytes in transit at which an end or a rejection is put down to them. Endpoints also end and reject for other reasons. */
const MIN_BOUND_BYTES = 256 * 1024

/** Part of the bytes in transit at an end or a rejection that becomes the bound. */
const BOUND_SHARE = 3 / 4

/** Time in which a bound doubles, in milliseconds. */
const DOUBLING_MS = 120_000

/** Time in which further ends and rejections at an endpoint have the same cause, in milliseconds: a crash breaks all connections to it, and each finds fewer bytes in transit. */
const OCCASION_MS = 500

/** Bound of a service when it was learnt. */
interface LearntBound {
  readonly bytes: number
  readonly learntAt: number
}

/** Bytes in transit to one endpoint. */
interface EndpointTransit {
  bytes: number
  lastOccasionAt: number
}

/** Bytes in transit to all endpoints. */
export class TransitBytes {
  readonly #endpoints = new Map<string, EndpointTransit>()
  readonly #bounds = new Map<string, LearntBound>()

  /**
   * @param endpoint - incarnation of the endpoint
   * @returns bytes in transit to it
   */
  bytesTo (endpoint: string): number {
    return this.#endpoints.get(endpoint)?.bytes ?? 0
  }

  /**
   * @param service - service name
   * @param now - monotonic milliseconds
   * @returns most bytes that may be in transit to one of its endpoints; infinity if none was learnt
   */
  boundOf (service: string, now: number): number {
    const bound = this.#bounds.get(service)
    return bound === undefined ? Number.POSITIVE_INFINITY : bound.bytes * 2 ** ((now - bound.learntAt) / DOUBLING_MS)
  }

  /**
   * @param service - service of the endpoint
   * @param endpoint - incarnation of the endpoint
   * @param bytes - size of a request
   * @param now - monotonic milliseconds
   * @returns whether the request may be sent; always true if no other request is in transit
   */
  admits (service: string, endpoint: string, bytes: number, now: number): boolean {
    const underWay = this.bytesTo(endpoint)
    return bytes === 0 || underWay === 0 || underWay + bytes <= this.boundOf(service, now)
  }

  /**
   * @param endpoint - incarnation of the endpoint
   * @param bytes - size of a request that is sent to it
   */
  begin (endpoint: string, bytes: number): void {
    if (bytes === 0) return
    const transit = this.#endpoints.get(endpoint)
    if (transit === undefined) this.#endpoints.set(endpoint, { bytes, lastOccasionAt: Number.NEGATIVE_INFINITY })
    else transit.bytes += bytes
  }

  /**
   * @param endpoint - incarnation of the endpoint
   * @param bytes - size of a request that is no longer in transit
   */
  end (endpoint: string, bytes: number): void {
    const transit = this.#endpoints.get(endpoint)
    if (transit === undefined) return
    transit.bytes -= bytes
    if (transit.bytes <= 0) this.#endpoints.delete(endpoint)
  }

  /**
   * Learns from an endpoint that ended or rejected a request. To be called while that request still counts as in transit.
   *
   * @param service - service of the endpoint
   * @param endpoint - incarnation of the endpoint
   * @param now - monotonic milliseconds
   * @returns the new bound in bytes; undefined if none was learnt
   */
  observeFailure (service: string, endpoint: string, now: number): number | undefined {
    const transit = this.#endpoints.get(endpoint)
    if (transit === undefined || transit.bytes <= MIN_BOUND_BYTES || now - transit.lastOccasionAt < OCCASION_MS) return undefined
    transit.lastOccasionAt = now
    const bytes = Math.max(MIN_BOUND_BYTES, transit.bytes * BOUND_SHARE)
    if (bytes >= this.boundOf(service, now)) return undefined
    this.#bounds.set(service, { bytes, learntAt: now })
    return bytes
  }
}
