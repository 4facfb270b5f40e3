/** Plans requests that are sent repeatedly with the same customer, path and body. */
import { SeededRandom } from './SeededRandom.js'
import type { Work } from './standinProtocol.js'
import type { RequestKind } from './observations.js'
import { CUSTOMERS } from './soakSite.js'

/** A request that is sent repeatedly, with a new id each time. */
export interface RepeatedRequest {
  readonly name: string
  readonly kind: RequestKind
  readonly customer: string
  readonly work: Work
  /** Pause between the end of one request and the start of the next, in milliseconds. */
  readonly pauseMs: number
  /** Pause after each part of the answer that is read, in milliseconds; read as it comes if absent. */
  readonly readPauseMs?: number
  /** How often the request is sent to another host if a host closes its connection unread; not at all if absent. */
  readonly retries?: number
  /** Shared part of the prompt; the body then differs each time. */
  readonly part?: string
}

/** Keeps this random sequence apart from those of the faults and callers. */
const REPEATED_SEED_OFFSET = 3_000_000

/** Keeps the random sequence of parts apart from the others. */
const PARTS_SEED_OFFSET = 4_000_000

/** Bounds of the pause before a customer sends another request with a part that crashes endpoints, in milliseconds. */
const MIN_PART_PAUSE_MS = 800
const MAX_PART_PAUSE_MS = 2500

const POISON_KINDS: readonly RequestKind[] = ['safe', 'unsafe', 'stream', 'resumable', 'generation']

/** Bounds of the time between the start of a poison request and the crash of its endpoint, in milliseconds. */
const MIN_CRASH_DELAY_MS = 20
const MAX_CRASH_DELAY_MS = 200

/** Bounds of the pause before a poison request is sent again, in milliseconds: like callers that ignore what refusals ask of them. */
const MIN_PAUSE_MS = 100
const MAX_PAUSE_MS = 900

/** Sent so often that it is usually running on any endpoint that crashes, and short enough to succeed now and then. */
const HARMLESS: RepeatedRequest = { name: 'harmless', kind: 'safe', customer: 'kiosk', work: { kind: 'plain', milliseconds: 60 }, pauseMs: 20 }

/**
 * @param seed - determines all requests
 * @param poison - number of requests that crash the endpoints that run them
 * @returns the poison requests and, if there are any, a harmless one that often runs beside them
 */
export function planRepeatedRequests (seed: number, poison: number): RepeatedRequest[] {
  if (poison === 0) return []
  const random = new SeededRandom(REPEATED_SEED_OFFSET + seed)
  return [...Array.from({ length: poison }, (_, index) => drawPoison(random, index)), HARMLESS]
}

/**
 * @param seed - determines all requests
 * @param parts - number of parts of prompts that crash the endpoints that run requests with them
 * @returns for each part, requests of several customers that have nothing else in common
 */
export function planPoisonParts (seed: number, parts: number): RepeatedRequest[] {
  const random = new SeededRandom(PARTS_SEED_OFFSET + seed)
  return Array.from({ length: parts }, (_, index) => CUSTOMERS.map(({ name }): RepeatedRequest => ({
    name: `part-${index}-of-${name}`,
    kind: 'generation',
    customer: name,
    part: `part-${index}`,
    work: { kind: 'stream', events: 3, intervalMs: 10, crashesEndpointAfterMs: Math.round(random.between(MIN_CRASH_DELAY_MS, MAX_CRASH_DELAY_MS)) },
    pauseMs: Math.round(random.between(MIN_PART_PAUSE_MS, MAX_PART_PAUSE_MS))
  }))).flat()
}

/** Work of a request of a burst, in milliseconds, and the pause before the next one: some ten requests a second on each connection. */
const BURST_WORK_MS = 40
const BURST_PAUSE_MS = 50

/**
 * @param name - prefix of the names of the requests, unique in the run
 * @param customer - customer that sends them
 * @param callers - number of connections
 * @returns one short request for each connection
 */
export function planBurst (name: string, customer: string, callers: number): RepeatedRequest[] {
  return Array.from({ length: callers }, (_, index) => ({
    name: `${name}-${index}`, kind: 'safe', customer, work: { kind: 'plain', milliseconds: BURST_WORK_MS }, pauseMs: BURST_PAUSE_MS
  }))
}

/** Work of a request of a crowd, in milliseconds, and the pause before the next one. */
const CROWD_WORK_MS = 150
const CROWD_PAUSE_MS = 100

/** Hosts that a request of a crowd is sent to after one that has closed its connection unread. */
const CROWD_RETRIES = 2

/**
 * @param name - prefix of the names of the requests, unique in the run
 * @param callers - number of connections at the same time
 * @returns one short request for each connection, each time on a new one
 */
export function planCrowd (name: string, callers: number): RepeatedRequest[] {
  return Array.from({ length: callers }, (_, index) => ({
    name: `${name}-${index}`, kind: 'safe', customer: CUSTOMERS[index % CUSTOMERS.length]?.name ?? '', work: { kind: 'plain', milliseconds: CROWD_WORK_MS }, pauseMs: CROWD_PAUSE_MS, retries: CROWD_RETRIES
  }))
}

/** A large answer, and the pause between two reads of 64 KB at most: reading takes some seconds, and more than what sockets hold is unread meanwhile. */
const SLOWLY_READ: Work = { kind: 'stream', events: 30, intervalMs: 20, paddingBytes: 200_000 }
const READ_PAUSE_MS = 40

/** Pause of such a caller before its next request, in milliseconds. */
const SLOW_READER_PAUSE_MS = 500

/**
 * @param name - prefix of the names of the requests, unique in the run
 * @param customer - customer that sends them
 * @param callers - number of connections
 * @returns one request for each connection, whose answer is read slowly
 */
export function planSlowReaders (name: string, customer: string, callers: number): RepeatedRequest[] {
  return Array.from({ length: callers }, (_, index) => ({
    name: `${name}-${index}`, kind: 'stream', customer, work: SLOWLY_READ, pauseMs: SLOW_READER_PAUSE_MS, readPauseMs: READ_PAUSE_MS
  }))
}

function drawPoison (random: SeededRandom, index: number): RepeatedRequest {
  const kind = random.pick(POISON_KINDS)
  const crashesEndpointAfterMs = Math.round(random.between(MIN_CRASH_DELAY_MS, MAX_CRASH_DELAY_MS))
  const work: Work = kind === 'safe' || kind === 'unsafe'
    ? { kind: 'plain', milliseconds: 0, crashesEndpointAfterMs }
    : { kind: 'stream', events: 3, intervalMs: 10, crashesEndpointAfterMs }
  return { name: `poison-${index}`, kind, customer: random.pick(CUSTOMERS).name, work, pauseMs: Math.round(random.between(MIN_PAUSE_MS, MAX_PAUSE_MS)) }
}
