/** Plans which faults are injected and when, determined by a seed alone. */
import { SeededRandom } from './SeededRandom.js'
import { RESTRAINT_KINDS, type RestraintKind } from './standinProtocol.js'
import { DATA_CENTRES } from './soakSite.js'
import { LINK_FAULTS, type LinkFault } from './LoopbackProxy.js'

/** Number of processes of each role. */
export interface SoakShape {
  readonly controls: number
  readonly entries: number
  readonly plainEndpoints: number
  readonly engines: number
}

export type SlotRole = 'entry' | 'control' | 'endpoint'

/** A planned fault; times are in milliseconds from the start of the fault phase. */
export type PlannedFault = { readonly atMs: number } & (
  | { readonly kind: 'rolling-stop', readonly gapMs: number }
  | { readonly kind: 'stop' | 'kill', readonly role: SlotRole, readonly slot: number }
  | { readonly kind: 'pause', readonly role: SlotRole, readonly slot: number, readonly durationMs: number }
  | { readonly kind: 'link', readonly role: 'control' | 'endpoint', readonly slot: number, readonly fault: LinkFault, readonly durationMs: number }
  | { readonly kind: 'restraint', readonly slot: number, readonly asks: RestraintKind, readonly durationMs: number }
  | { readonly kind: 'evacuation', readonly dataCentre: string, readonly durationMs: number }
  /** An endpoint is killed, and its next incarnation is listed as cold. */
  | { readonly kind: 'cold-return', readonly slot: number }
  | { readonly kind: 'new-site' | 'new-weights' }
)

/** Delay between the stops of a rolling stop, in milliseconds: shorter than a stop takes, so that the stops overlap. */
const ROLLING_GAP_MS = 1300

/** Time of the first rolling stop, in milliseconds: all callers are sending requests by then. */
const FIRST_FAULT_MS = 500

/** Bounds of the time between two faults, in milliseconds: short enough that several faults overlap at any time. */
const MIN_GAP_MS = 150
const MAX_GAP_MS = 1400

/** Bounds of the duration of a fault, in milliseconds: shorter and longer than the leases and timeouts of the product. */
const MIN_DURATION_MS = 200
const MAX_DURATION_MS = 4500

/** Bounds of the duration of a restraint or an evacuation, in milliseconds: rates are checked over windows of four seconds. */
const MIN_RESTRAINT_MS = 4000
const MAX_RESTRAINT_MS = 9000

export type FaultKind = PlannedFault['kind']

/** Kinds of faults, repeated according to their frequency. The regression seeds depend on this list. */
export const FAULT_KINDS: readonly FaultKind[] = [
  'rolling-stop', 'stop', 'stop', 'kill', 'kill', 'pause', 'pause', 'pause', 'link', 'link', 'link', 'link',
  'new-site', 'new-site', 'new-weights', 'new-weights'
]

/** All kinds of faults: {@link FAULT_KINDS}, restraints that endpoints ask for, evacuations of data centres, and endpoints that come back cold. */
export const ALL_FAULT_KINDS: readonly FaultKind[] = [...FAULT_KINDS, 'restraint', 'restraint', 'restraint', 'evacuation', 'cold-return', 'cold-return']

/**
 * @param seed - determines all faults
 * @param seconds - duration of the fault phase
 * @param shape - number of processes of each role
 * @param kinds - kinds of faults to choose from
 * @returns the faults in order of time; they include a rolling stop near the start if `kinds` has that kind
 */
export function planFaults (seed: number, seconds: number, shape: SoakShape, kinds = FAULT_KINDS): PlannedFault[] {
  const random = new SeededRandom(seed)
  const faults: PlannedFault[] = kinds.includes('rolling-stop') ? [{ atMs: FIRST_FAULT_MS, kind: 'rolling-stop', gapMs: ROLLING_GAP_MS }] : []
  for (let atMs = random.between(0, MAX_GAP_MS); atMs < seconds * 1000; atMs += random.between(MIN_GAP_MS, MAX_GAP_MS)) {
    faults.push(drawFault(random, random.pick(kinds), atMs, shape))
  }
  return faults.sort((left, right) => left.atMs - right.atMs)
}

function drawFault (random: SeededRandom, kind: FaultKind, atMs: number, shape: SoakShape): PlannedFault {
  const durationMs = Math.round(random.between(MIN_DURATION_MS, MAX_DURATION_MS))
  switch (kind) {
    case 'rolling-stop': return { atMs, kind, gapMs: ROLLING_GAP_MS }
    case 'stop':
    case 'kill': return { atMs, kind, ...drawSlot(random, shape) }
    case 'pause': return { atMs, kind, ...drawSlot(random, shape), durationMs }
    case 'link': {
      const role = random.pick(['control', 'endpoint'] as const)
      return { atMs, kind, role, slot: random.index(slotCount(role, shape)), fault: random.pick(LINK_FAULTS), durationMs }
    }
    case 'restraint': return {
      atMs,
      kind,
      slot: random.index(slotCount('endpoint', shape)),
      asks: random.pick(RESTRAINT_KINDS),
      durationMs: Math.round(random.between(MIN_RESTRAINT_MS, MAX_RESTRAINT_MS))
    }
    case 'evacuation': return { atMs, kind, dataCentre: random.pick(DATA_CENTRES), durationMs: Math.round(random.between(MIN_RESTRAINT_MS, MAX_RESTRAINT_MS)) }
    case 'cold-return': return { atMs, kind, slot: random.index(slotCount('endpoint', shape)) }
    case 'new-site':
    case 'new-weights': return { atMs, kind }
  }
}

function drawSlot (random: SeededRandom, shape: SoakShape): { role: SlotRole, slot: number } {
  const role = random.pick(['entry', 'control', 'endpoint'] as const)
  return { role, slot: random.index(slotCount(role, shape)) }
}

function slotCount (role: SlotRole, shape: SoakShape): number {
  switch (role) {
    case 'entry': return shape.entries
    case 'control': return shape.controls
    case 'endpoint': return shape.plainEndpoints + shape.engines
  }
}
