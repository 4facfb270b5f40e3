/** Baseline policies that the default policy is compared with in the same benchmark run. */
import { estimatePlacement, estimateQueueWait, listImportOptions } from './estimatePlacement.js'
import type { EngineCandidate, Placement, PlacementPolicy, PlacementRequest, PlacementWeights } from './placementTypes.js'

const LATENCY_ONLY_WEIGHTS: PlacementWeights = { firstTokenMillisecond: 1, recomputedToken: 0, linkKilobyte: 0 }

/** Shuffles the engines before they are sorted: with a fixed order, all hosts would choose the first of several equal engines. */
function shuffled (engines: readonly EngineCandidate[], random: () => number): EngineCandidate[] {
  const keyed = engines.map(engine => ({ engine, key: random() }))
  return keyed.sort((left, right) => left.key - right.key).map(({ engine }) => engine)
}

function compareLoad (left: EngineCandidate, right: EngineCandidate): number {
  return estimateQueueWait(left) - estimateQueueWait(right) || left.running - right.running
}

/** Prefers the engine with the least load, regardless of caches. */
export class LeastLoaded implements PlacementPolicy {
  readonly name = 'least-loaded'

  /** @param random - source of numbers in [0, 1) */
  constructor (private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    return shuffled(engines, this.random).sort(compareLoad).map(engine => estimatePlacement(request, engine, [], LATENCY_ONLY_WEIGHTS))
  }
}

/** Prefers the engine with the longest resident prefix, without imports. */
export class PrefixAffinity implements PlacementPolicy {
  readonly name = 'prefix-affinity'

  /** @param random - source of numbers in [0, 1) */
  constructor (private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const ordered = shuffled(engines, this.random).sort((left, right) => right.residentBlocks - left.residentBlocks || compareLoad(left, right))
    return ordered.map(engine => estimatePlacement(request, engine, [], LATENCY_ONLY_WEIGHTS))
  }
}

/** Prefers the engine with the longest resident prefix and imports everything that is stored beyond it. */
export class AlwaysImport implements PlacementPolicy {
  readonly name = 'always-import'

  /** @param random - source of numbers in [0, 1) */
  constructor (private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const ordered = shuffled(engines, this.random).sort((left, right) => right.residentBlocks - left.residentBlocks || compareLoad(left, right))
    return ordered.map(engine =>
      estimatePlacement(request, engine, listImportOptions(request, engine).at(-1) ?? [], LATENCY_ONLY_WEIGHTS))
  }
}

/** Prefers the lowest estimated time to first token, without imports. */
export class NeverImport implements PlacementPolicy {
  readonly name = 'never-import'

  /** @param random - source of numbers in [0, 1) */
  constructor (private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const placements = shuffled(engines, this.random).map(engine => estimatePlacement(request, engine, [], LATENCY_ONLY_WEIGHTS))
    return placements.sort((left, right) => left.firstTokenMs - right.firstTokenMs)
  }
}
