/** What placement knows and what it decides. Times are in milliseconds, sizes in tokens or bytes. */

/** An engine that may take the request. */
export interface EngineCandidate {
  readonly name: string
  readonly dataCentre: string
  /** Weight version the engine runs; the key chain of the prompt depends on it. */
  readonly version: string
  /** Leading blocks of the prompt in the engine's own cache, as far as known. */
  readonly residentBlocks: number
  /** Prefill tokens queued before this request, dispatches since the report included. */
  readonly queuedTokens: number
  readonly running: number
  readonly maxRunning: number
  /** Mean time a run holds its place, to estimate the wait for a full engine. */
  readonly meanRunMs: number
  readonly prefillTokensPerMs: number
}

/** A stored object that covers part of the prompt. */
export interface ImportCandidate {
  readonly name: string
  readonly store: string
  readonly dataCentre: string
  readonly bytes: number
  /** Leading blocks covered once this object and all before it are there. */
  readonly coversTo: number
}

/** A store's link as last observed. */
export interface LinkView {
  readonly bytesPerMs: number
  /** Bytes already queued on it. */
  readonly backlogBytes: number
}

/** One prompt to place, under one weight version. */
export interface PlacementRequest {
  readonly promptTokens: number
  readonly tokensPerBlock: number
  readonly stored: readonly ImportCandidate[]
  readonly links: ReadonlyMap<string, LinkView>
}

/** Weights of a profile. */
export interface PlacementWeights {
  readonly firstTokenMillisecond: number
  readonly recomputedToken: number
  readonly linkKilobyte: number
}

/** One way to run the request, with its estimated cost. */
export interface Placement {
  readonly engine: EngineCandidate
  readonly imports: readonly ImportCandidate[]
  /** Leading blocks that need no computing. */
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
   * @param request - the prompt and what is stored of it
   * @param engines - engines that may take it
   * @returns ways to run it, best first; empty if there is no engine
   */
  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[]
}
