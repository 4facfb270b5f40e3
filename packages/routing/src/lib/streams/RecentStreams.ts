/** Streams of one host that may still be resumed and that it has not reported yet. */
import type { StartedStream } from './streamOrigin.js'

/** Most streams that are kept unreported; beyond this, the oldest ones are dropped. */
const MAX_UNREPORTED = 20_000

interface UnreportedStream {
  readonly route: string
  readonly stream: StartedStream
  readonly keptUntil: number
}

/** Unreported streams, in the order in which they began. Those of a route with one origin are kept until it has several. */
export class RecentStreams {
  readonly #unreported = new Set<UnreportedStream>()

  /**
   * @param route - route name
   * @param stream - stream that has begun
   * @param now - monotonic milliseconds
   */
  add (route: string, stream: StartedStream, now: number): void {
    for (const oldest of this.#unreported) {
      if (now < oldest.keptUntil && this.#unreported.size < MAX_UNREPORTED) break
      this.#unreported.delete(oldest)
    }
    this.#unreported.add({ route, stream, keptUntil: now + stream.keepMs })
  }

  /**
   * @param isReported - returns whether streams of a route are to be reported
   * @param now - monotonic milliseconds
   * @returns streams that have not been returned before and may still be resumed
   */
  takeUnreported (isReported: (route: string) => boolean, now: number): StartedStream[] {
    const taken: StartedStream[] = []
    for (const unreported of this.#unreported) {
      const { route, stream, keptUntil } = unreported
      if (!isReported(route)) continue
      this.#unreported.delete(unreported)
      if (now < keptUntil) taken.push({ ...stream, keepMs: keptUntil - now })
    }
    return taken
  }
}
