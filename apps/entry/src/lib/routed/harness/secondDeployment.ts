/** Load and engines of the second deployment in docs/HARD-LOAD.md, for tests. */
import type { EnginesSimulationOptions, StreamKind } from './EnginesSimulation.js'
import { testRoute } from './testSite.js'

/** Long prompts with few output tokens. */
export const LONG_STREAMS: StreamKind = {
  route: testRoute('/long/', { kind: 'stream', isResumable: true, priority: 2, targetLatencyMs: 408, longestPauseMs: 300, timeoutMs: 12_243 }),
  perSecond: 153,
  sharedTokens: 9122,
  sharedParts: 1500,
  ownTokens: 2870,
  outputTokens: 42
}

/** Short streams whose callers notice pauses. */
export const SHORT_STREAMS: StreamKind = {
  route: testRoute('/short/', { kind: 'stream', attempts: 1, priority: 1, targetLatencyMs: 503, longestPauseMs: 300, timeoutMs: 10_066 }),
  perSecond: 156,
  sharedTokens: 650,
  sharedParts: 100,
  ownTokens: 177,
  outputTokens: 32
}

/** Streams of a single event. */
export const MIDDLE_STREAMS: StreamKind = {
  route: testRoute('/middle/', { kind: 'stream', isResumable: true, targetLatencyMs: 804, longestPauseMs: 300, timeoutMs: 2512 }),
  perSecond: 298,
  sharedTokens: 1861,
  sharedParts: 100,
  ownTokens: 507,
  outputTokens: 3
}

/** The deployment without features for hard load. */
export const SECOND_DEPLOYMENT: EnginesSimulationOptions = {
  hosts: 28,
  engines: 42,
  speeds: { slots: 32, decodeStepMs: 3.55, prefillTokensPerMs: 157, chunkTokens: 2048, tokensPerEvent: 9, cachedParts: 16 },
  kinds: [LONG_STREAMS, SHORT_STREAMS, MIDDLE_STREAMS],
  features: [],
  seed: 1,
  slowMachines: { share: 0.15, factor: 2.5, periodMs: 600 }
}
