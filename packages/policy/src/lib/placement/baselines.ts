/** Plain policies that the product's own is measured against in the same run. */
import { estimatePlacement, estimateWait, importCuts } from './estimatePlacement.js'
import type { EngineCandidate, Placement, PlacementPolicy, PlacementRequest, PlacementWeights } from './placementTypes.js'

const TIME_ONLY: PlacementWeights = { firstTokenMillisecond: 1, recomputedToken: 0, linkKilobyte: 0 }

function byWait (left: EngineCandidate, right: EngineCandidate): number {
  return estimateWait(left) - estimateWait(right) || left.running - right.running
}

/** Engine with the least load; never looks at caches. */
export class LeastLoaded implements PlacementPolicy {
  readonly name = 'least-loaded'

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    return [...engines].sort(byWait).map(engine => estimatePlacement(request, engine, [], TIME_ONLY))
  }
}

/** Engine with the longest resident prefix; no imports. */
export class PrefixAffinity implements PlacementPolicy {
  readonly name = 'prefix-affinity'

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const ordered = [...engines].sort((left, right) => right.residentBlocks - left.residentBlocks || byWait(left, right))
    return ordered.map(engine => estimatePlacement(request, engine, [], TIME_ONLY))
  }
}

/** Longest resident prefix first, then imports all that is stored beyond it. */
export class AlwaysImport implements PlacementPolicy {
  readonly name = 'always-import'

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const ordered = [...engines].sort((left, right) => right.residentBlocks - left.residentBlocks || byWait(left, right))
    return ordered.map(engine =>
      estimatePlacement(request, engine, importCuts(request, engine).at(-1) ?? [], TIME_ONLY))
  }
}

/** Lowest estimated time to first token, without imports. */
export class NeverImport implements PlacementPolicy {
  readonly name = 'never-import'

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const placements = engines.map(engine => estimatePlacement(request, engine, [], TIME_ONLY))
    return placements.sort((left, right) => left.firstTokenMs - right.firstTokenMs)
  }
}
