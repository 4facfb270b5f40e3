/**
 * Divides the memory of a host among everything that its process keeps in it, so that the sum stays below the limit beyond which
 * the process is killed. All bounds on memory are taken from here.
 */

/** Bytes of a megabyte of a host's memory; the smaller of the two usual meanings. */
export const BYTES_PER_MEGABYTE = 1_000_000

/** Memory of a host whose memory is not known, in megabytes. */
const DEFAULT_MEMORY_MB = 256

/** Code, libraries and heap of an entry host without requests, in bytes. */
const ENTRY_AT_REST_BYTES = 84 * BYTES_PER_MEGABYTE

/** Code, libraries and heap of a control host with an empty log, in bytes. */
const CONTROL_AT_REST_BYTES = 90 * BYTES_PER_MEGABYTE

/** Both halves of a young generation of the size to which loading a program makes it grow, and the large objects in it, in bytes. */
const BOUNDED_YOUNG_GENERATION_BYTES = 12 * BYTES_PER_MEGABYTE

/** The same at the largest size that the engine gives it, in bytes. */
const FULL_YOUNG_GENERATION_BYTES = 52 * BYTES_PER_MEGABYTE

/** Memory from which a host has room for a young generation of full size, in megabytes. Collections take less processor time then. */
const FULL_YOUNG_GENERATION_FROM_MB = 300

/** Part of the memory that nothing may use: what allocators don't return, and stacks. */
const RESERVE_SHARE = 0.05

/** Memory that an open connection of a caller occupies, in bytes. */
export const CONNECTION_BYTES = 10_000

/** Parts of an entry host's memory that are spread over what it does; they add up to 1. */
const ENTRY_SHARES = { heap: 0.25, connections: 0.15, requestBodies: 0.2, responses: 0.4 }

/** Most of the host's memory that one kind of response may occupy while there is little of the others. */
const UNFINISHED_RESPONSE_SHARE = 1 / 16
const WAITING_RESPONSE_SHARE = 1 / 16
const SLOW_READER_SHARE = 1 / 4

/** Parts of a control host's memory that are spread over what it does; they add up to 1. */
const CONTROL_SHARES = { heap: 0.65, operatorCalls: 0.35 }

/** Least memory that is spread, in bytes, so that a host with very little still serves; its sum is above its memory. */
const MIN_SPREAD_BYTES = 10 * BYTES_PER_MEGABYTE

/** Parts that every process has, in bytes. */
export interface ProcessMemoryBudget {
  /** Memory of the host: the limit. */
  readonly limitBytes: number
  /** Code, libraries and heap without work. */
  readonly atRestBytes: number
  /** Young generation of the heap. */
  readonly youngGenerationBytes: number
  /** Growth of the old generation under load, with garbage that is not collected yet. */
  readonly heapBytes: number
  /** What nothing may use. */
  readonly reserveBytes: number
}

/** Budget of an entry host, in bytes unless said otherwise. */
export interface EntryMemoryBudget extends ProcessMemoryBudget {
  /** Open connections of callers. */
  readonly connectionBytes: number
  /** Most open connections of callers, as a number. */
  readonly connections: number
  /** Bodies of requests whose endpoints have not read them. */
  readonly requestBodyBytes: number
  /** All responses together: unfinished ones, those that wait, and what slow readers have not read. */
  readonly responseBytes: number
  /** Most of {@link responseBytes} for one kind, while the others leave it. */
  readonly mostOfResponses: {
    /** Events of endpoints without an end, and bodies that are kept for a retry. */
    readonly unfinished: number
    /** Responses that wait to be read from their endpoints. */
    readonly waiting: number
    /** Bytes that slow readers have not read. */
    readonly slowReaders: number
  }
}

/** Budget of a control host, in bytes. */
export interface ControlMemoryBudget extends ProcessMemoryBudget {
  /** Bodies and answers of operators' calls that are under way. */
  readonly operatorCallBytes: number
}

/**
 * @param memoryMb - memory of the host in megabytes; 0 if it is not known
 * @returns the parts of an entry host's memory
 */
export function entryMemoryBudget (memoryMb: number): EntryMemoryBudget {
  const { budget, spreadBytes } = divide(memoryMb, ENTRY_AT_REST_BYTES)
  const share = (part: keyof typeof ENTRY_SHARES): number => Math.floor(spreadBytes * ENTRY_SHARES[part])
  const connectionBytes = share('connections')
  const responseBytes = share('responses')
  const most = (part: number): number => Math.min(responseBytes, Math.floor(budget.limitBytes * part))
  return {
    ...budget,
    heapBytes: share('heap'),
    connectionBytes,
    connections: Math.floor(connectionBytes / CONNECTION_BYTES),
    requestBodyBytes: share('requestBodies'),
    responseBytes,
    mostOfResponses: { unfinished: most(UNFINISHED_RESPONSE_SHARE), waiting: most(WAITING_RESPONSE_SHARE), slowReaders: most(SLOW_READER_SHARE) }
  }
}

/**
 * @param memoryMb - memory of the host in megabytes; 0 if it is not known
 * @returns the parts of a control host's memory
 */
export function controlMemoryBudget (memoryMb: number): ControlMemoryBudget {
  const { budget, spreadBytes } = divide(memoryMb, CONTROL_AT_REST_BYTES)
  const share = (part: keyof typeof CONTROL_SHARES): number => Math.floor(spreadBytes * CONTROL_SHARES[part])
  return { ...budget, heapBytes: share('heap'), operatorCallBytes: share('operatorCalls') }
}

/**
 * @param memoryMb - memory of the host in megabytes; 0 or not a number if it is not known
 * @returns whether the young generation has to stay at the size that it has once the program is loaded
 */
export function isYoungGenerationBounded (memoryMb: number): boolean {
  return !(memoryMb >= FULL_YOUNG_GENERATION_FROM_MB)
}

/** Returns the fixed parts, and what is left to be spread over the others. */
function divide (memoryMb: number, atRestBytes: number): { budget: Omit<ProcessMemoryBudget, 'heapBytes'>, spreadBytes: number } {
  const limitBytes = (memoryMb > 0 ? memoryMb : DEFAULT_MEMORY_MB) * BYTES_PER_MEGABYTE
  const reserveBytes = Math.floor(limitBytes * RESERVE_SHARE)
  const youngGenerationBytes = isYoungGenerationBounded(memoryMb) ? BOUNDED_YOUNG_GENERATION_BYTES : FULL_YOUNG_GENERATION_BYTES
  const spreadBytes = Math.max(MIN_SPREAD_BYTES, limitBytes - atRestBytes - youngGenerationBytes - reserveBytes)
  return { budget: { limitBytes, atRestBytes, youngGenerationBytes, reserveBytes }, spreadBytes }
}
