/** Load reports of engines, corrected for the dispatches that this host knows of since each report was measured. */

/** An engine's report of its load. */
export interface EngineLoad {
  readonly version: string
  readonly running: number
  readonly maxRunning: number
  readonly queuedTokens: number
  readonly prefillTokensPerMs: number
  readonly meanRunMs: number
  /** Age of the figures when the report was sent, in milliseconds. */
  readonly ageMs: number
  /** How long blocks had been unused when they were evicted; undefined until the first eviction. */
  readonly residenceSeconds?: number | undefined
  readonly bytesPerToken: number
}

interface RecordedDispatch {
  readonly at: number
  readonly tokens: number
}

/** Tracks the load of all engines. */
export class EngineLoadTable {
  readonly #loads = new Map<string, { load: EngineLoad, measuredAt: number }>()
  readonly #dispatches = new Map<string, RecordedDispatch[]>()

  /**
   * @param engine - endpoint name
   * @param load - the engine's report
   * @param now - monotonic milliseconds when the report was received
   */
  observe (engine: string, load: EngineLoad, now: number): void {
    const measuredAt = now - load.ageMs
    this.#loads.set(engine, { load, measuredAt })
    const recent = this.#dispatches.get(engine)?.filter(dispatch => dispatch.at > measuredAt) ?? []
    this.#dispatches.set(engine, recent)
  }

  /**
   * Records a dispatch that this host made or a peer announced.
   *
   * @param engine - endpoint the request was sent to
   * @param tokens - prefill tokens that the engine has to compute
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
    const dispatchesSince = this.#dispatches.get(engine) ?? []
    const tokensSince = dispatchesSince.reduce((sum, dispatch) => sum + dispatch.tokens, 0)
    const computedSince = (now - entry.measuredAt) * entry.load.prefillTokensPerMs
    return {
      ...entry.load,
      running: entry.load.running + dispatchesSince.length,
      queuedTokens: Math.max(0, entry.load.queuedTokens + tokensSince - computedSince)
    }
  }
}
