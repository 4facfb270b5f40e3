/**
 * Deadlines after which no request may begin on weights that are older than the desired version.
 *
 * They limit rollouts that can't finish in time because engines crash or have long runs. While no
 * engine with the desired version can take a request, it falls back to an engine with older
 * weights. After the agreed time the output of older weights has no value, so such requests are
 * rejected and asked to retry later.
 */

/** Version of the weights that a model is to run. */
interface DesiredVersion {
  readonly model: string
  readonly version: number
}

interface VersionDeadline {
  readonly version: number
  /** Monotonic milliseconds from which no request may begin on older weights. */
  readonly endsAt: number
}

/** Time by which a host stops before the agreed time, in milliseconds. It learns of new weights some tenths of a second after they were acknowledged, and requests also wait at engines. */
const SAFETY_MARGIN_MS = 700

/** Number of deadlines kept for a model. An engine that is further behind is subject to the oldest of them. */
const MAX_DEADLINES_PER_MODEL = 20

/** First version of a model's weights; there are no older ones. */
const FIRST_VERSION = 1

/** Tracks the desired versions that one host has observed. */
export class OutdatedWeightsDeadlines {
  /** By model, in ascending order of version. */
  readonly #deadlines = new Map<string, VersionDeadline[]>()
  #hasObserved = false

  /** @param boundMs - time after which no request may begin on older weights; infinite if there is no bound */
  constructor (private readonly boundMs: number) {}

  /**
   * @param desired - all versions that are desired now
   * @param now - monotonic milliseconds
   */
  observe (desired: readonly DesiredVersion[], now: number): void {
    // Versions that are found at startup may have been desired for long already.
    const grantedMs = this.#hasObserved || this.boundMs === Number.POSITIVE_INFINITY ? this.boundMs - SAFETY_MARGIN_MS : 0
    this.#hasObserved = true
    for (const { model, version } of desired) {
      const deadlines = this.#deadlines.get(model) ?? []
      if (version === FIRST_VERSION || (deadlines.at(-1)?.version ?? 0) >= version) continue
      this.#deadlines.set(model, [...deadlines, { version, endsAt: now + Math.max(0, grantedMs) }].slice(-MAX_DEADLINES_PER_MODEL))
    }
  }

  /**
   * @param model - model of a request
   * @param loadedVersion - version that an engine has loaded
   * @param now - monotonic milliseconds
   * @returns milliseconds for which requests may still begin on that engine; a later version doesn't extend the deadline set by an earlier one
   */
  remainingMs (model: string, loadedVersion: number, now: number): number {
    const next = this.#deadlines.get(model)?.find(({ version }) => version > loadedVersion)
    return next === undefined ? Number.POSITIVE_INFINITY : Math.max(0, next.endsAt - now)
  }
}
