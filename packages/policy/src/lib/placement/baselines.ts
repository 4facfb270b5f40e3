/** Plain policies that the product's own is measured against in the same run. */
import { estimatePlacement, estimateWait, importCuts } from './estimatePlacement.js'
import type { EngineCandidate, Placement, PlacementPolicy, PlacementRequest, PlacementWeights } from './placementTypes.js'

const TIME_ONLY: PlacementWeights = { firstTokenMillisecond: 1, recomputedToken: 0, linkKilobyte: 0 }

/** Equal engines in random order: a fixed order would send all hosts to the first of them. */
function shuffled (engines: readonly EngineCandidate[], random: () => number): EngineCandidate[] {
  const keyed = engines.map(engine => ({ engine, key: random() }))
  return keyed.sort((left, right) => left.key - right.key).map(({ engine }) => engine)
}

function byWait (left: EngineCandidate, right: EngineCandidate): number {
  return estimateWait(left) - estimateWait(right) || left.running - right.running
}

/** Engine with the least load; never looks at caches. */
export class LeastLoaded implements PlacementPolicy {
  readonly name = 'least-loaded'

  /** @param random - source of numbers in [0, 1) */
  constructor (private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    return shuffled(engines, this.random).sort(byWait).map(engine => estimatePlacement(request, engine, [], TIME_ONLY))
  }
}

/** Engine with the longest resident prefix; no imports. */
export class PrefixAffinity implements PlacementPolicy {
  readonly name = 'prefix-affinity'

  /** @param random - source of numbers in [0, 1) */
  constructor (private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const ordered = shuffled(engines, this.random).sort((left, right) => right.residentBlocks - left.residentBlocks || byWait(left, right))
    return ordered.map(engine => estimatePlacement(request, engine, [], TIME_ONLY))
  }
}

/** Longest resident prefix first, then imports all that is stored beyond it. */
export class AlwaysImport implements PlacementPolicy {
  readonly name = 'always-import'

  /** @param random - source of numbers in [0, 1) */
  constructor (private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const ordered = shuffled(engines, this.random).sort((left, right) => right.residentBlocks - left.residentBlocks || byWait(left, right))
    return ordered.map(engine =>
      estimatePlacement(request, engine, importCuts(request, engine).at(-1) ?? [], TIME_ONLY))
  }
}

/** Lowest estimated time to first token, without imports. */
export class NeverImport implements PlacementPolicy {
  readonly name = 'never-import'

  /** @param random - source of numbers in [0, 1) */
  constructor (private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const placements = shuffled(engines, this.random).map(engine => estimatePlacement(request, engine, [], TIME_ONLY))
    return placements.sort((left, right) => left.firstTokenMs - right.firstTokenMs)
  }
}
