/**
 * Distances of data centres from this host's own, learnt from the time in which connections are established.
 *
 * A connection is established after one round trip. A busy host notices it late, and a lost packet is repeated after a
 * second, so single times say little; the minimum of some times is close to the round trip.
 */

/** Round trip to a data centre to which no connection has been established yet, in milliseconds. */
export const UNKNOWN_ROUND_TRIP_MS = 2

/** Number of latest connections of which the minimum counts: a data centre that moves away is noticed after as many connections. */
const SAMPLES = 20

/** Change of a distance that is reported, in milliseconds and as a share of the last reported one. Jitter between two hosts stays below both. */
const REPORTED_CHANGE_MS = 0.5
const REPORTED_CHANGE_SHARE = 0.25

/** Shortest time between two reported changes of one data centre, in milliseconds; it bounds the log. */
const REPORT_INTERVAL_MS = 10_000

/** A distance that has become known or has changed. */
export interface DistanceChange {
  readonly dataCentre: string
  readonly roundTripMs: number
  /** The distance that was reported before, or the one that is assumed while it is not known. */
  readonly previousMs: number
  /** Number of connections on which the distance is based. */
  readonly samples: number
}

interface Distance {
  /** Times of the latest connections, in milliseconds, in order. */
  readonly recentMs: number[]
  roundTripMs: number
  reportedMs: number | undefined
  reportedAt: number
}

/** Distances by data centre, as round trips. */
export class DataCentreDistances {
  readonly #distances = new Map<string, Distance>()

  /** @param own - data centre of this host */
  constructor (private readonly own: string) {}

  /** Number of other data centres whose distance is known. */
  get knownCount (): number { return this.#distances.size }

  /** Round trip to the farthest data centre whose distance is known, in milliseconds; 0 if none is known. */
  get farthestMs (): number { return Math.max(0, ...[...this.#distances.values()].map(({ roundTripMs }) => roundTripMs)) }

  /**
   * Records that a connection to an endpoint was established.
   *
   * @param dataCentre - data centre of the endpoint
   * @param milliseconds - time in which it was established; a time that is not a number from 0 on is ignored
   * @param now - monotonic milliseconds
   * @returns the change of the distance, if it is to be reported
   */
  observeConnection (dataCentre: string, milliseconds: number, now: number): DistanceChange | undefined {
    if (dataCentre === this.own || !Number.isFinite(milliseconds) || milliseconds < 0) return undefined
    const distance = this.#distances.get(dataCentre) ?? { recentMs: [], roundTripMs: 0, reportedMs: undefined, reportedAt: Number.NEGATIVE_INFINITY }
    this.#distances.set(dataCentre, distance)
    distance.recentMs.push(milliseconds)
    if (distance.recentMs.length > SAMPLES) distance.recentMs.shift()
    distance.roundTripMs = Math.min(...distance.recentMs)
    return reportChange(dataCentre, distance, now)
  }

  /**
   * @param dataCentre - data centre of an endpoint or a store
   * @returns round trip to it in milliseconds; 0 for the own data centre, and {@link UNKNOWN_ROUND_TRIP_MS} until it is known
   */
  roundTripMs (dataCentre: string): number {
    if (dataCentre === this.own) return 0
    return this.#distances.get(dataCentre)?.roundTripMs ?? UNKNOWN_ROUND_TRIP_MS
  }

  /**
   * Returns the round trip between two data centres. Between two others than the own one, which this host can't
   * observe, it is the longer of their distances: the true one lies between the difference and the sum of both.
   *
   * @param from - one data centre
   * @param to - the other one
   * @returns milliseconds; 0 if they are the same
   */
  roundTripBetweenMs (from: string, to: string): number {
    return from === to ? 0 : Math.max(this.roundTripMs(from), this.roundTripMs(to))
  }
}

function reportChange (dataCentre: string, distance: Distance, now: number): DistanceChange | undefined {
  const { roundTripMs, reportedMs, reportedAt, recentMs } = distance
  const previousMs = reportedMs ?? UNKNOWN_ROUND_TRIP_MS
  const changeMs = Math.abs(roundTripMs - previousMs)
  const isChanged = reportedMs === undefined || (changeMs >= REPORTED_CHANGE_MS && changeMs >= previousMs * REPORTED_CHANGE_SHARE)
  if (!isChanged || now - reportedAt < REPORT_INTERVAL_MS) return undefined
  distance.reportedMs = roundTripMs
  distance.reportedAt = now
  return { dataCentre, roundTripMs, previousMs, samples: recentMs.length }
}
