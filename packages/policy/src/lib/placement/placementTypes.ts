/** Input and output types of placement. Times are in milliseconds, sizes in tokens or bytes. */

/** An engine that may run the request. */
export interface EngineCandidate {
  readonly name: string
  readonly dataCentre: string
  /** Weight version the engine runs; the key chain of the prompt depends on it. */
  readonly version: string
  /** Number of leading blocks of the prompt known to be in the engine's own cache. */
  readonly residentBlocks: number
  /** Prefill tokens queued ahead of this request, including dispatches since the engine's report. */
  readonly queuedTokens: number
  readonly running: number
  readonly maxRunning: number
  /** Mean duration of a run, used to estimate the wait for a full engine. */
  readonly meanRunMs: number
  readonly prefillTokensPerMs: number
}

/** A stored object that covers part of the prompt. */
export interface ImportCandidate {
  readonly name: string
  readonly store: string
  readonly dataCentre: string
  readonly bytes: number
  /** Number of leading blocks covered once this object and all objects before it are imported. */
  readonly coversTo: number
}

/** Latest estimate of a store's link. */
export interface LinkView {
  readonly bytesPerMs: number
  /** Bytes already queued on the link. */
  readonly backlogBytes: number
}

/** One prompt to place, under one weight version. */
export interface PlacementRequest {
  readonly promptTokens: number
  readonly tokensPerBlock: number
  readonly stored: readonly ImportCandidate[]
  readonly links: ReadonlyMap<string, LinkView>
}

/** Cost weights of a profile. */
export interface PlacementWeights {
  readonly firstTokenMillisecond: number
  readonly recomputedToken: number
  readonly linkKilobyte: number
}

/** An engine and a set of imports for a request, with the estimated cost. */
export interface Placement {
  readonly engine: EngineCandidate
  readonly imports: readonly ImportCandidate[]
  /** Number of leading blocks that do not have to be computed. */
  readonly reusedBlocks: number
  readonly firstTokenMs: number
  readonly importMs: number
  readonly recomputedTokens: number
  readonly linkBytes: number
  readonly score: number
}

/** Chooses where a prompt runs and what is imported for it. */
export interface PlacementPolicy {
  readonly name: string
  /**
   * @param request - the prompt and its stored objects
   * @param engines - engines that may run the prompt
   * @returns one placement per engine, best first; empty if there is no engine
   */
  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[]
}
