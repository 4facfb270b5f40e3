/** Estimates the effect of a prompt on the pauses of the streams at an engine, and of the engine's load on the request's own stream. */
import type { PeerLoad } from '../load/PeerLoad.js'
import type { EndpointState } from './EndpointState.js'
import type { EngineLoad, EngineModel } from './EngineModel.js'
import { holdProbability, USUAL_PACE, type PaceStatement } from './MachinePace.js'
import type { PauseExcess, StreamConditions, StreamPaceModel } from './StreamPaceModel.js'

/** Prompt tokens from which a prompt is charged in full for the pauses that it shares in; shorter ones are charged in proportion. */
const FULL_CHARGE_TOKENS = 1500

/** Expected output tokens from which a request is a stream of several events, so that it has pauses. */
const MANY_EVENTS_TOKENS = 20

/** Streams at an engine and the request that may be sent there. */
export interface PauseQuery {
  readonly endpoint: EndpointState
  /** Work that the other entry hosts have reported. */
  readonly others: PeerLoad
  readonly model: StreamPaceModel
  /** Latency model of the engines of the service. */
  readonly engine: EngineModel
  /** Work at the engine, for the requests of all hosts. */
  readonly load: EngineLoad
  /** Newest pace that the engine has stated; undefined if there is none. */
  readonly pace: PaceStatement | undefined
  /** Longest pause that the request's caller allows, in milliseconds; 0 if there is no limit. */
  readonly longestPauseMs: number
  /** Tokens that the request is expected to produce. */
  readonly outputTokens: number
}

/** Effect of a choice on pauses. */
export interface PauseEffect {
  /** Time by which pauses are expected to exceed their limits, summed over the streams, in milliseconds. */
  readonly costMs: number
  /** Expected number of running streams whose pause exceeds its limit if the prompt is sent to the engine. */
  readonly delayedStreams: number
}

/**
 * @param query - streams at the engine and the request
 * @param now - monotonic milliseconds
 */
export function estimatePauses (query: PauseQuery, now: number): PauseEffect {
  const { endpoint, others, engine, load: { tokensAhead, tokensToRead, requests }, longestPauseMs, outputTokens } = query
  const own = endpoint.runningStreams.limits
  const peers = others.streamsAt(endpoint.incarnation)
  const streams = own.streams + peers.streams
  const aheadMs = engine.waitMs({ tokensAhead, requests: 0 })
  let [costMs, delayedStreams] = [0, 0]
  if (streams > 0) {
    const limitMs = Math.min(own.shortestPauseMs, peers.shortestPauseMs)
    const { excessMs, probability } = expectedExcess(query, { prefillMs: aheadMs + engine.prefillMs(tokensToRead), requests }, limitMs, now)
    costMs += streams * excessMs * Math.min(1, tokensToRead / FULL_CHARGE_TOKENS)
    delayedStreams = streams * probability
  }
  if (longestPauseMs > 0 && outputTokens >= MANY_EVENTS_TOKENS) {
    costMs += expectedExcess(query, { prefillMs: aheadMs, requests }, longestPauseMs, now).excessMs
  }
  return { costMs, delayedStreams }
}

/** Weighs the excess at the stated pace and at the usual one by the probability that the statement still holds. */
function expectedExcess ({ model, pace }: PauseQuery, conditions: StreamConditions, limitMs: number, now: number): PauseExcess {
  const usual = model.excess(conditions, limitMs, USUAL_PACE)
  if (pace === undefined || pace.factor === USUAL_PACE) return usual
  const stated = model.excess(conditions, limitMs, pace.factor)
  const weight = holdProbability(pace, now)
  return {
    probability: weight * stated.probability + (1 - weight) * usual.probability,
    excessMs: weight * stated.excessMs + (1 - weight) * usual.excessMs
  }
}
