/** A pool of engines with long prompts beside short streams, at a quarter of the size and the speeds of the first deployment in docs/HARD-LOAD.md, for tests. */
import type { EnginesSimulationOptions, StreamKind } from './EnginesSimulation.js'
import { testRoute } from './testSite.js'

/** Long prompts, whose callers do not limit pauses. */
export const LONG_PROMPTS: StreamKind = {
  route: testRoute('/long/', { kind: 'stream', attempts: 1, priority: 2, targetLatencyMs: 1519, timeoutMs: 12_156 }),
  perSecond: 37,
  sharedTokens: 9122,
  sharedParts: 1000,
  ownTokens: 2870,
  outputTokens: 38
}

/** Urgent streams whose pauses are limited to 300 ms. */
export const URGENT_STREAMS: StreamKind = {
  route: testRoute('/short/', { kind: 'stream', isResumable: true, targetLatencyMs: 508, longestPauseMs: 300, timeoutMs: 10_159 }),
  perSecond: 53,
  sharedTokens: 650,
  sharedParts: 30,
  ownTokens: 177,
  outputTokens: 29
}

/** The pool without features for hard load, on machines of their own. */
export const MIXED_POOL: EnginesSimulationOptions = {
  hosts: 15,
  engines: 24,
  speeds: { slots: 32, decodeStepMs: 2.89, prefillTokensPerMs: 55, chunkTokens: 2048, tokensPerEvent: 10, cachedParts: 8 },
  kinds: [LONG_PROMPTS, URGENT_STREAMS],
  features: [],
  seed: 1,
  slowMachines: { share: 0, factor: 1, periodMs: 600 }
}
