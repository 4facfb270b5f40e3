/** Draws which faults come when, from a seed alone. */
import { Draws } from './SeededRandom.js'
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
const FIRST_MS = 500

/** Bounds of the time between two faults, in milliseconds: several are under way at any time. */
const LEAST_GAP_MS = 150
const MOST_GAP_MS = 1400

/** Bounds of how long a fault lasts, in milliseconds: around the product's leases and timeouts. */
const LEAST_DURATION_MS = 200
const MOST_DURATION_MS = 4500

/** Bounds of how long an endpoint asks hosts for less, in milliseconds: a rate is to be kept in any four seconds. */
const LEAST_RESTRAINT_MS = 4000
const MOST_RESTRAINT_MS = 9000

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
  const draws = new Draws(seed)
  const faults: PlannedFault[] = kinds.includes('rolling-stop') ? [{ atMs: FIRST_MS, kind: 'rolling-stop', gapMs: ROLLING_GAP_MS }] : []
  for (let atMs = draws.between(0, MOST_GAP_MS); atMs < seconds * 1000; atMs += draws.between(LEAST_GAP_MS, MOST_GAP_MS)) {
    faults.push(drawFault(draws, draws.pick(kinds), atMs, shape))
  }
  return faults.sort((left, right) => left.atMs - right.atMs)
}

function drawFault (draws: Draws, kind: FaultKind, atMs: number, shape: SoakShape): PlannedFault {
  const durationMs = Math.round(draws.between(LEAST_DURATION_MS, MOST_DURATION_MS))
  switch (kind) {
    case 'rolling-stop': return { atMs, kind, gapMs: ROLLING_GAP_MS }
    case 'stop':
    case 'kill': return { atMs, kind, ...drawSlot(draws, shape) }
    case 'pause': return { atMs, kind, ...drawSlot(draws, shape), durationMs }
    case 'link': {
      const role = draws.pick(['control', 'endpoint'] as const)
      return { atMs, kind, role, slot: draws.index(slotCount(role, shape)), fault: draws.pick(LINK_FAULTS), durationMs }
    }
    case 'restraint': return {
      atMs,
      kind,
      slot: draws.index(slotCount('endpoint', shape)),
      asks: draws.pick(RESTRAINT_KINDS),
      durationMs: Math.round(draws.between(LEAST_RESTRAINT_MS, MOST_RESTRAINT_MS))
    }
    case 'evacuation': return { atMs, kind, dataCentre: draws.pick(DATA_CENTRES), durationMs: Math.round(draws.between(LEAST_RESTRAINT_MS, MOST_RESTRAINT_MS)) }
    case 'cold-return': return { atMs, kind, slot: draws.index(slotCount('endpoint', shape)) }
    case 'new-site':
    case 'new-weights': return { atMs, kind }
  }
}

function drawSlot (draws: Draws, shape: SoakShape): { role: SlotRole, slot: number } {
  const role = draws.pick(['entry', 'control', 'endpoint'] as const)
  return { role, slot: draws.index(slotCount(role, shape)) }
}

function slotCount (role: SlotRole, shape: SoakShape): number {
  switch (role) {
    case 'entry': return shape.entries
    case 'control': return shape.controls
    case 'endpoint': return shape.plainEndpoints + shape.engines
  }
}
