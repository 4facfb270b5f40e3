/** Estimates what one way to run a request costs. */
import type { EngineCandidate, ImportCandidate, Placement, PlacementRequest, PlacementWeights } from './placementTypes.js'

const BYTES_PER_KILOBYTE = 1024

/**
 * Estimates one engine with one cut of the prompt.
 *
 * Import and queueing overlap; what is neither resident nor imported is computed
 * after both.
 *
 * @param request - the prompt
 * @param engine - where it would run
 * @param imports - stored objects to import first, in chain order
 * @param weights - the profile's weights
 * @returns the placement with its estimated cost
 */
export function estimatePlacement (
  request: PlacementRequest,
  engine: EngineCandidate,
  imports: readonly ImportCandidate[],
  weights: PlacementWeights
): Placement {
  const reusedBlocks = Math.max(engine.residentBlocks, imports.at(-1)?.coversTo ?? 0)
  const recomputedTokens = Math.max(0, request.promptTokens - reusedBlocks * request.tokensPerBlock)
  const linkBytes = imports.reduce((sum, candidate) => sum + candidate.bytes, 0)
  const importMs = estimateImport(request, imports)
  const firstTokenMs = Math.max(estimateWait(engine), importMs) + recomputedTokens / engine.prefillTokensPerMs
  const score = weights.firstTokenMillisecond * firstTokenMs +
    weights.recomputedToken * recomputedTokens +
    weights.linkKilobyte * linkBytes / BYTES_PER_KILOBYTE
  return { engine, imports, reusedBlocks, firstTokenMs, importMs, recomputedTokens, linkBytes, score }
}

/**
 * @param engine - engine with its load
 * @returns estimated time until it starts on a new prompt
 */
export function estimateWait (engine: EngineCandidate): number {
  const queue = engine.queuedTokens / engine.prefillTokensPerMs
  const excess = engine.running + 1 - engine.maxRunning
  if (excess <= 0) return queue
  // Places free up one after another, evenly over a mean run.
  return queue + engine.meanRunMs * excess / engine.maxRunning
}

function estimateImport (request: PlacementRequest, imports: readonly ImportCandidate[]): number {
  const bytesByStore = new Map<string, number>()
  for (const { store, bytes } of imports) bytesByStore.set(store, (bytesByStore.get(store) ?? 0) + bytes)
  let slowest = 0
  for (const [store, bytes] of bytesByStore) {
    const link = request.links.get(store)
    if (link === undefined) return Number.POSITIVE_INFINITY
    slowest = Math.max(slowest, (link.backlogBytes + bytes) / link.bytesPerMs)
  }
  return slowest
}

/**
 * Lists the useful cuts for an engine: no import, and each longer run of stored objects.
 *
 * @param request - the prompt
 * @param engine - where it would run
 * @returns lists of objects to import, the empty one first
 */
export function importCuts (request: PlacementRequest, engine: EngineCandidate): ImportCandidate[][] {
  const cuts: ImportCandidate[][] = [[]]
  const needed = request.stored.filter(candidate => candidate.coversTo > engine.residentBlocks)
  for (let length = 1; length <= needed.length; length += 1) cuts.push(needed.slice(0, length))
  return cuts
}
