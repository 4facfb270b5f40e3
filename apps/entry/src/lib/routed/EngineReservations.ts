/** Reservations of a slot and memory at an engine, which the host takes just before it sends a large request. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'

/** Time for which a request waits for its reservation, in milliseconds; it is then sent without one. */
export const RESERVATION_TIMEOUT_MS = 20

/** What is reserved. */
export interface ReservationTerms {
  /** Tokens of the engine's memory. */
  readonly tokens: number
  /** How long the reservation lasts, in milliseconds. */
  readonly leaseMs: number
}

/** Takes and releases reservations. */
export interface EngineReservations {
  /**
   * Takes a reservation. One that the engine grants after the timeout is released.
   *
   * @param endpoint - the engine
   * @param terms - what to reserve
   * @param timeoutMs - longest wait for the answer, in milliseconds
   * @returns id of the reservation; undefined if the engine refuses it or does not answer in time
   */
  take (endpoint: ListedEndpoint, terms: ReservationTerms, timeoutMs: number): Promise<string | undefined>
  /**
   * Releases a reservation that is not used. A failure has no effect, because reservations expire.
   *
   * @param endpoint - the engine
   * @param id - id of the reservation
   */
  release (endpoint: ListedEndpoint, id: string): void
}
