/** Lagged load reports of engines, corrected by dispatches known here since each report was measured. */

/** An engine's own report. */
export interface EngineLoad {
  readonly version: string
  readonly running: number
  readonly maxRunning: number
  readonly queuedTokens: number
  readonly prefillTokensPerMs: number
  readonly meanRunMs: number
  /** Age of the figures when they were sent, in milliseconds. */
  readonly ageMs: number
  /** How long evicted blocks had lain unused; undefined until something was evicted. */
  readonly residenceSeconds?: number | undefined
  readonly bytesPerToken: number
}

interface KnownDispatch {
  readonly at: number
  readonly tokens: number
}

/** Loads of all engines. */
export class EngineLoadTable {
  readonly #loads = new Map<string, { load: EngineLoad, measuredAt: number }>()
  readonly #dispatches = new Map<string, KnownDispatch[]>()

  /**
   * @param engine - endpoint name
   * @param load - its report
   * @param now - monotonic milliseconds when the report came in
   */
  observe (engine: string, load: EngineLoad, now: number): void {
    const measuredAt = now - load.ageMs
    this.#loads.set(engine, { load, measuredAt })
    const recent = this.#dispatches.get(engine)?.filter(dispatch => dispatch.at > measuredAt) ?? []
    this.#dispatches.set(engine, recent)
  }

  /**
   * Notes a dispatch of this host, or one that a peer announced.
   *
   * @param engine - endpoint a request was sent to
   * @param tokens - prefill tokens it has to compute
   * @param now - monotonic milliseconds
   */
  recordDispatch (engine: string, tokens: number, now: number): void {
    const dispatches = this.#dispatches.get(engine) ?? []
    dispatches.push({ at: now, tokens })
    this.#dispatches.set(engine, dispatches)
  }

  /**
   * @param engine - endpoint name
   * @param now - monotonic milliseconds
   * @returns the corrected load, or undefined before the first report
   */
  load (engine: string, now: number): EngineLoad | undefined {
    const entry = this.#loads.get(engine)
    if (entry === undefined) return undefined
    const since = this.#dispatches.get(engine) ?? []
    const tokensSince = since.reduce((sum, dispatch) => sum + dispatch.tokens, 0)
    const computedSince = (now - entry.measuredAt) * entry.load.prefillTokensPerMs
    return {
      ...entry.load,
      running: entry.load.running + since.length,
      queuedTokens: Math.max(0, entry.load.queuedTokens + tokensSince - computedSince)
    }
  }
}
