/** What this host knows of streams, and where it finds out about those that began at other hosts. */
import type { StreamOrigin } from '@eelgrassmux/routing/streams/streamOrigin'

/** A stream that has begun at this host. */
export interface BegunStream {
  /** Request id of the attempt that brought the first event. */
  readonly id: string
  readonly route: string
  readonly origin: StreamOrigin
  /** Milliseconds for which the caller may still resume the stream. */
  readonly keepMs: number
}

/** A stream that a caller takes up. */
export interface TakenUpStream {
  /** Request id of the attempt that brought the first event; undefined if the caller does not name it. */
  readonly id: string | undefined
  readonly route: string
  /** How long ago it may have begun, in milliseconds. */
  readonly maxAgeMs: number
}

/** Origins of streams that may be resumed. */
export interface StreamDirectory {
  /** @param stream - stream that has begun */
  record (stream: BegunStream): void
  /**
   * @param stream - stream that is taken up
   * @param done - called once with what began the stream, at once if this host knows it; undefined if it can't be found out
   */
  find (stream: TakenUpStream, done: (origin: StreamOrigin | undefined) => void): void
  /**
   * @param service - service name
   * @returns software versions that other hosts may not list yet; undefined if there are none
   */
  newVersionsOf (service: string): ReadonlySet<string | undefined> | undefined
}
