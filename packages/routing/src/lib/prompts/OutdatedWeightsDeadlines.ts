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

/** Namings kept of a model: an engine that is further behind is bounded by the oldest of these. */
const MOST_NAMINGS = 20

/** First weights of a model: there are no older ones. */
const FIRST_VERSION = 1

/** What one host has heard named. */
export class OutdatedWeightsDeadlines {
  /** In order of their versions. */
  readonly #namings = new Map<string, Naming[]>()
  #hasObserved = false

  /** @param boundMs - time after which no request may begin on older weights; infinite if nobody bounds it */
  constructor (private readonly boundMs: number) {}

  /**
   * @param named - all that is named now
   * @param now - monotonic milliseconds
   */
  observe (named: readonly NamedVersion[], now: number): void {
    const grantedMs = this.boundMs * (this.#hasObserved ? 1 : FOUND_SHARE) - MARGIN_MS
    this.#hasObserved = true
    for (const { model, version } of named) {
      const namings = this.#namings.get(model) ?? []
      if (version === FIRST_VERSION || (namings.at(-1)?.version ?? 0) >= version) continue
      this.#namings.set(model, [...namings, { version, endsAt: now + Math.max(0, grantedMs) }].slice(-MOST_NAMINGS))
    }
  }

  /**
   * @param model - model of a request
   * @param held - version that an engine holds
   * @param now - monotonic milliseconds
   * @returns milliseconds within which it may begin there; later weights don't prolong what earlier ones have ended
   */
  remainingMs (model: string, held: number, now: number): number {
    const next = this.#namings.get(model)?.find(({ version }) => version > held)
    return next === undefined ? Number.POSITIVE_INFINITY : Math.max(0, next.endsAt - now)
  }
}
