/** Draws requests that come again and again with the same customer, path and body. */
import { Draws } from './SeededRandom.js'
import type { Work } from './standinProtocol.js'
import type { RequestKind } from './observations.js'
import { CUSTOMERS } from './soakSite.js'

/** One request that is asked over and over, under a new id each time. */
export interface RepeatedRequest {
  readonly name: string
  readonly kind: RequestKind
  readonly customer: string
  readonly work: Work
  /** Pause between an end and the next request, in milliseconds. */
  readonly pauseMs: number
}

/** Tells these draws from those of faults and callers. */
const REPEATED_SEED = 3_000_000

const POISON_KINDS: readonly RequestKind[] = ['safe', 'unsafe', 'stream', 'resumable', 'generation']

/** Bounds of the time that an endpoint lives on with a poison request, in milliseconds. */
const LEAST_LIFE_MS = 20
const MOST_LIFE_MS = 200

/** Bounds of the pause before it comes again, in milliseconds: as callers press who don't do as they are told. */
const LEAST_PAUSE_MS = 100
const MOST_PAUSE_MS = 900

/** Often under way at any endpoint that ends, and as short as it takes to come through now and then. */
const HARMLESS: RepeatedRequest = { name: 'harmless', kind: 'safe', customer: 'kiosk', work: { kind: 'plain', milliseconds: 60 }, pauseMs: 20 }

/**
 * @param seed - decides everything
 * @param poison - how many of them end the endpoints that run them
 * @returns the poison ones and, if there are any, one that is only often beside them
 */
export function planRepeatedRequests (seed: number, poison: number): RepeatedRequest[] {
  if (poison === 0) return []
  const draws = new Draws(REPEATED_SEED + seed)
  return [...Array.from({ length: poison }, (_, index) => drawPoison(draws, index)), HARMLESS]
}

function drawPoison (draws: Draws, index: number): RepeatedRequest {
  const kind = draws.pick(POISON_KINDS)
  const crashesEndpointAfterMs = Math.round(draws.between(LEAST_LIFE_MS, MOST_LIFE_MS))
  const work: Work = kind === 'safe' || kind === 'unsafe'
    ? { kind: 'plain', milliseconds: 0, crashesEndpointAfterMs }
    : { kind: 'stream', events: 3, intervalMs: 10, crashesEndpointAfterMs }
  return { name: `poison-${index}`, kind, customer: draws.pick(CUSTOMERS).name, work, pauseMs: Math.round(draws.between(LEAST_PAUSE_MS, MOST_PAUSE_MS)) }
}
