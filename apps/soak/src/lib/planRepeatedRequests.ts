/** Draws requests that come again and again with the same customer, path and body. */
import { SeededRandom } from './SeededRandom.js'
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
const REPEATED_SEED_OFFSET = 3_000_000

const POISON_KINDS: readonly RequestKind[] = ['safe', 'unsafe', 'stream', 'resumable', 'generation']

/** Bounds of the time that an endpoint lives on with a poison request, in milliseconds. */
const MIN_CRASH_DELAY_MS = 20
const MAX_CRASH_DELAY_MS = 200

/** Bounds of the pause before it comes again, in milliseconds: as callers press who don't do as they are told. */
const MIN_PAUSE_MS = 100
const MAX_PAUSE_MS = 900

/** Often under way at any endpoint that ends, and as short as it takes to come through now and then. */
const HARMLESS: RepeatedRequest = { name: 'harmless', kind: 'safe', customer: 'kiosk', work: { kind: 'plain', milliseconds: 60 }, pauseMs: 20 }

/**
 * @param seed - decides everything
 * @param poison - how many of them end the endpoints that run them
 * @returns the poison ones and, if there are any, one that is only often beside them
 */
export function planRepeatedRequests (seed: number, poison: number): RepeatedRequest[] {
  if (poison === 0) return []
  const random = new SeededRandom(REPEATED_SEED_OFFSET + seed)
  return [...Array.from({ length: poison }, (_, index) => drawPoison(random, index)), HARMLESS]
}

function drawPoison (random: SeededRandom, index: number): RepeatedRequest {
  const kind = random.pick(POISON_KINDS)
  const crashesEndpointAfterMs = Math.round(random.between(MIN_CRASH_DELAY_MS, MAX_CRASH_DELAY_MS))
  const work: Work = kind === 'safe' || kind === 'unsafe'
    ? { kind: 'plain', milliseconds: 0, crashesEndpointAfterMs }
    : { kind: 'stream', events: 3, intervalMs: 10, crashesEndpointAfterMs }
  return { name: `poison-${index}`, kind, customer: random.pick(CUSTOMERS).name, work, pauseMs: Math.round(random.between(MIN_PAUSE_MS, MAX_PAUSE_MS)) }
}
