/** Estimates the cost of running a request on an engine with a given set of imports. */
import type { EngineCandidate, ImportCandidate, Placement, PlacementRequest, PlacementWeights } from './placementTypes.js'

const BYTES_PER_KILOBYTE = 1024

/**
 * Estimates the cost of one placement.
 *
 * The import overlaps with the wait in the engine's queue. Tokens that are neither
 * resident nor imported are computed after both.
 *
 * @param request - prompt to place
 * @param engine - engine that would run it
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
  const firstTokenMs = Math.max(estimateQueueWait(engine), importMs) + recomputedTokens / engine.prefillTokensPerMs
  const score = weights.firstTokenMillisecond * firstTokenMs +
    weights.recomputedToken * recomputedTokens +
    weights.linkKilobyte * linkBytes / BYTES_PER_KILOBYTE
  return { engine, imports, reusedBlocks, firstTokenMs, importMs, recomputedTokens, linkBytes, score }
}

/**
 * @param engine - engine with its load
 * @returns estimated time until the engine starts on a new prompt, in milliseconds
 */
export function estimateQueueWait (engine: EngineCandidate): number {
  const queue = engine.queuedTokens / engine.prefillTokensPerMs
  const excess = engine.running + 1 - engine.maxRunning
  if (excess <= 0) return queue
  // Assumes that running requests end at even intervals over the mean run time.
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
 * Lists the sets of objects that are worth considering for import: none, and each
 * prefix of the stored objects that extend what the engine holds.
 *
 * @param request - prompt to place
 * @param engine - engine that would run it
 * @returns lists of objects to import, starting with the empty list
 */
export function listImportOptions (request: PlacementRequest, engine: EngineCandidate): ImportCandidate[][] {
  const options: ImportCandidate[][] = [[]]
  const needed = request.stored.filter(candidate => candidate.coversTo > engine.residentBlocks)
  for (let length = 1; length <= needed.length; length += 1) options.push(needed.slice(0, length))
  return options
}
