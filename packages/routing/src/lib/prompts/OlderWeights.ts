/**
 * How long requests may still begin on older weights than the named ones.
 *
 * Answers a rollout that can't be finished in time, because engines crash or their runs
 * last: requests fall back to engines with older weights while none with the named ones can
 * take them. Beyond the agreed time that would be worth nothing to anybody, so they are told to
 * come back instead.
 */

/** Weights that a model should run. */
interface NamedVersion {
  readonly model: string
  readonly version: number
}

interface Naming {
  readonly version: number
  /** Monotonic milliseconds from which no request may begin on older ones. */
  readonly endsAt: number
}

/** Time by which a host stops before the agreed time, in milliseconds: it hears of weights some tenths of a second after they were acknowledged, and requests wait at engines. */
const MARGIN_MS = 700

/** Share of the agreed time that a host grants which finds weights named when it starts: they may have been named long ago. */
const FOUND_SHARE = 0.5

/** First weights of a model: there are no older ones. */
const FIRST_VERSION = 1

/** What one host has heard named. */
export class OlderWeights {
  readonly #namings = new Map<string, Naming>()
  #hasHeard = false

  /** @param boundMs - time after which no request may begin on older weights; infinite if nobody bounds it */
  constructor (private readonly boundMs: number) {}

  /**
   * @param named - all that is named now
   * @param now - monotonic milliseconds
   */
  observe (named: readonly NamedVersion[], now: number): void {
    const grantedMs = this.boundMs * (this.#hasHeard ? 1 : FOUND_SHARE) - MARGIN_MS
    this.#hasHeard = true
    for (const { model, version } of named) {
      if (this.#namings.get(model)?.version === version) continue
      const endsAt = version === FIRST_VERSION ? Number.POSITIVE_INFINITY : now + Math.max(0, grantedMs)
      this.#namings.set(model, { version, endsAt })
    }
  }

  /**
   * @param model - model of a request
   * @param now - monotonic milliseconds
   * @returns milliseconds within which it may begin on older weights
   */
  leftMs (model: string, now: number): number {
    const naming = this.#namings.get(model)
    return naming === undefined ? Number.POSITIVE_INFINITY : Math.max(0, naming.endsAt - now)
  }
}
