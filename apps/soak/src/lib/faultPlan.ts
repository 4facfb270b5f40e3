/** Draws which faults come when, from a seed alone. */
import { SeededRandom } from './SeededRandom.js'
import { RESTRAINT_KINDS, type RestraintKind } from './standinProtocol.js'
import { DATA_CENTRES } from './soakSite.js'
import { LINK_FAULTS, type LinkFault } from './LoopbackProxy.js'

/** Number of processes of each kind. */
export interface SoakShape {
  readonly controls: number
  readonly entries: number
  readonly plainEndpoints: number
  readonly engines: number
}

export type SlotRole = 'entry' | 'control' | 'endpoint'

/** A fault as planned; times in milliseconds from the start of the faults. */
export type PlannedFault = { readonly atMs: number } & (
  | { readonly kind: 'rolling-stop', readonly gapMs: number }
  | { readonly kind: 'stop' | 'kill', readonly role: SlotRole, readonly slot: number }
  | { readonly kind: 'pause', readonly role: SlotRole, readonly slot: number, readonly durationMs: number }
  | { readonly kind: 'link', readonly role: 'control' | 'endpoint', readonly slot: number, readonly fault: LinkFault, readonly durationMs: number }
  | { readonly kind: 'restraint', readonly slot: number, readonly asks: RestraintKind, readonly durationMs: number }
  | { readonly kind: 'evacuation', readonly dataCentre: string, readonly durationMs: number }
  /** An endpoint is killed and comes back cold. */
  | { readonly kind: 'cold-return', readonly slot: number }
  | { readonly kind: 'new-site' | 'new-weights' }
)

/** Gap between the stops of a rolling stop, in milliseconds: shorter than a stop takes, so that they overlap. */
const ROLLING_GAP_MS = 1300

/** Time of the first fault, in milliseconds: all callers are at work by then. */
const FIRST_FAULT_MS = 500

/** Bounds of the time between two faults, in milliseconds: several are under way at any time. */
const MIN_GAP_MS = 150
const MAX_GAP_MS = 1400

/** Bounds of how long a fault lasts, in milliseconds: around the product's leases and timeouts. */
const MIN_DURATION_MS = 200
const MAX_DURATION_MS = 4500

/** Bounds of how long an endpoint asks hosts for less, in milliseconds: a rate is to be kept in any four seconds. */
const MIN_RESTRAINT_MS = 4000
const MAX_RESTRAINT_MS = 9000

export type FaultKind = PlannedFault['kind']

/** Kinds by how often they come, as the seeds that failed once were drawn from. */
export const FAULT_KINDS: readonly FaultKind[] = [
  'rolling-stop', 'stop', 'stop', 'kill', 'kill', 'pause', 'pause', 'pause', 'link', 'link', 'link', 'link',
  'new-site', 'new-site', 'new-weights', 'new-weights'
]

/** The same, and endpoints that ask hosts for less, data centres that are evacuated and endpoints that come back cold. */
export const ALL_FAULT_KINDS: readonly FaultKind[] = [...FAULT_KINDS, 'restraint', 'restraint', 'restraint', 'evacuation', 'cold-return', 'cold-return']

/**
 * @param seed - decides everything
 * @param seconds - how long faults go on
 * @param shape - how many processes there are
 * @param kinds - faults to draw from
 * @returns the faults in order of time; the first is a rolling stop, if such are drawn from
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
