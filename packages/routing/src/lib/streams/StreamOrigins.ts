/** Remembers what began each stream, for as long as its caller may resume it. */
import { originKey, type StartedStream, type StreamOrigin } from './streamOrigin.js'

/** Most streams that are remembered; beyond this, the oldest ones are forgotten. */
export const MAX_REMEMBERED_STREAMS = 200_000

interface KeptOrigin {
  /** Undefined if the id was recorded with different origins, so that it does not identify a stream. */
  readonly origin: StreamOrigin | undefined
  readonly keptUntil: number
}

/** Origins by request id, in the order in which they were recorded. */
export class StreamOrigins {
  readonly #kept = new Map<string, KeptOrigin>()
  /** One object for each origin, which its streams share. */
  readonly #shared = new Map<string, StreamOrigin>()

  /** @param most - most streams to remember */
  constructor (private readonly most = MAX_REMEMBERED_STREAMS) {}

  /** Number of streams that are remembered. */
  get size (): number { return this.#kept.size }

  /**
   * Records a stream.
   *
   * @param stream - stream that has begun
   * @param now - monotonic milliseconds
   */
  record ({ id, origin, keepMs }: StartedStream, now: number): void {
    this.#forgetExpired(now)
    const known = this.#kept.get(id)
    const isKnown = known !== undefined && now < known.keptUntil
    const shared = this.#share(origin)
    this.#kept.delete(id)
    this.#kept.set(id, { origin: isKnown && known.origin !== shared ? undefined : shared, keptUntil: Math.max(now + keepMs, known?.keptUntil ?? 0) })
  }

  /**
   * @param id - request id of the attempt that brought the first event
   * @param now - monotonic milliseconds
   * @returns what began the stream; undefined if it is not known
   */
  find (id: string, now: number): StreamOrigin | undefined {
    const kept = this.#kept.get(id)
    return kept !== undefined && now < kept.keptUntil ? kept.origin : undefined
  }

  #share (origin: StreamOrigin): StreamOrigin {
    const key = originKey(origin)
    const present = this.#shared.get(key)
    if (present !== undefined) return present
    this.#shared.set(key, origin)
    return origin
  }

  /** Looks at the oldest streams only. One that is kept for long delays the removal of those recorded after it. */
  #forgetExpired (now: number): void {
    for (const [id, { keptUntil }] of this.#kept) {
      if (now < keptUntil && this.#kept.size < this.most) break
      this.#kept.delete(id)
    }
    if (this.#kept.size === 0) this.#shared.clear()
  }
}
