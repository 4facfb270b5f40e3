/** Placement by estimated cost, over every combination of engine and imported objects. */
import { estimatePlacement, listImportOptions } from './estimatePlacement.js'
import type { EngineCandidate, Placement, PlacementPolicy, PlacementRequest, PlacementWeights } from './placementTypes.js'

/**
 * Difference in time to first token within which placements count as tied. It is
 * absolute because a fraction of the score would ignore long waits for long prompts.
 */
const NEAR_TIE_MS = 2

/** The default policy. Orders placements by score, lowest first, and shuffles near ties so that hosts do not all choose the same engine. */
export class CostPlacement implements PlacementPolicy {
  readonly name = 'eelgrassmux'

  /**
   * @param weights - the profile's weights
   * @param random - source of numbers in [0, 1)
   */
  constructor (private readonly weights: PlacementWeights, private readonly random: () => number) {}

  rank (request: PlacementRequest, engines: readonly EngineCandidate[]): Placement[] {
    const best = engines.map(engine => this.#bestOn(request, engine))
    best.sort((left, right) => left.score - right.score)
    this.#shuffleNearTies(best)
    return best
  }

  #bestOn (request: PlacementRequest, engine: EngineCandidate): Placement {
    const placements = listImportOptions(request, engine).map(imports => estimatePlacement(request, engine, imports, this.weights))
    return placements.reduce((best, placement) => placement.score < best.score ? placement : best)
  }

  #shuffleNearTies (ranked: Placement[]): void {
    const lowest = ranked[0]
    if (lowest === undefined) return
    const limit = lowest.score + NEAR_TIE_MS * this.weights.firstTokenMillisecond
    const ties = ranked.filter(placement => placement.score <= limit).length
    for (let position = ties - 1; position > 0; position -= 1) {
      const other = Math.floor(this.random() * (position + 1))
      const moved = ranked[position]
      const swapped = ranked[other]
      if (moved === undefined || swapped === undefined) continue
      ranked[position] = swapped
      ranked[other] = moved
    }
  }
}
