/** Plans which faults are injected and when, determined by a seed alone. */
import { SeededRandom } from './SeededRandom.js'
import { LARGE_BODIES } from './HeldConnections.js'
import { BYTES_BEHIND, type BytesBehind } from './CallerWithBytesBehind.js'
import { ENDLESS_PARTS, RESTRAINT_KINDS, SECOND_ANSWER_KINDS, type EndlessPart, type RestraintKind, type SecondAnswerKind } from './standinProtocol.js'
import { STRANGE_ENTRIES, type StrangeEntry } from './strangeEntries.js'
import { CUSTOMERS, DATA_CENTRES, dataCentreOf } from './soakSite.js'
import { HOST_CUTS, LINK_FAULTS, type Direction, type HostCut, type LinkFault } from '@eelgrassmux/rpc/harness/LoopbackProxy'

/** Number of processes of each role. */
export interface SoakShape {
  readonly controls: number
  readonly entries: number
  readonly plainEndpoints: number
  readonly engines: number
}

/** Connections that go silent: all, those of one entry host to control hosts, or those among control hosts. */
export type SilenceScope = 'all' | 'control-hosts' | { readonly entry: number }

/** Directions in which connections go silent. */
const SILENT_DIRECTIONS: ReadonlyArray<readonly Direction[]> = [['towards', 'back'], ['towards', 'back'], ['towards'], ['back']]

/** Highest number of times that connections go silent in a row, the new ones as well. */
const MAX_SILENCES = 3

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
  /** One customer sends many short requests, one after another on each of some connections. */
  | { readonly kind: 'burst', readonly customer: string, readonly callers: number, readonly durationMs: number }
  /** Some callers read large answers slowly. */
  | { readonly kind: 'slow-readers', readonly callers: number, readonly durationMs: number }
  /** The machine of an endpoint takes longer for all work, and the endpoint states how much longer. */
  | { readonly kind: 'slow-machine', readonly slot: number, readonly pace: number, readonly durationMs: number }
  /** All plain endpoints run few requests at once and reject the others. */
  | { readonly kind: 'full-service', readonly durationMs: number }
  /** All plain endpoints run few requests at once, and fail if they have to reject many. */
  | { readonly kind: 'brittle-service', readonly durationMs: number }
  /** The balancer hands most new connections to one entry host, while callers open more of them. */
  | { readonly kind: 'crowd', readonly slot: number, readonly callers: number, readonly durationMs: number }
  /** The answers of an endpoint have no end. */
  | { readonly kind: 'endless-answers', readonly slot: number, readonly part: EndlessPart, readonly durationMs: number }
  /** An endpoint runs few requests at once, rejects the others, and answers twice. */
  | { readonly kind: 'second-answers', readonly slot: number, readonly answers: SecondAnswerKind, readonly durationMs: number }
  /** Callers send other bytes behind calls that run. */
  | { readonly kind: 'bytes-behind', readonly callers: number, readonly bytes: BytesBehind, readonly durationMs: number }
  /** Callers send large bodies to an entry host that stop before their end, or come slowly. */
  | { readonly kind: 'large-bodies', readonly slot: number, readonly bodies: typeof LARGE_BODIES[number], readonly callers: number, readonly durationMs: number }
  /** Many connections to an entry host are open, and nothing comes over them. */
  | { readonly kind: 'idle-connections', readonly slot: number, readonly connections: number, readonly durationMs: number }
  /** More callers with connections of their own than an entry host can serve. */
  | { readonly kind: 'many-callers', readonly slot: number, readonly callers: number, readonly durationMs: number }
  /** A process is killed, and one of its ports is taken for some time while it starts again. */
  | { readonly kind: 'taken-port', readonly role: 'entry' | 'control', readonly slot: number, readonly isAdminPort: boolean, readonly durationMs: number }
  /** Some entry hosts lose their links to all endpoints. */
  | { readonly kind: 'host-cut', readonly slots: readonly number[], readonly cut: HostCut, readonly durationMs: number }
  /** Open connections go silent for good, and new ones work; the site is changed meanwhile. */
  | { readonly kind: 'silent-connections', readonly scope: SilenceScope, readonly directions: readonly Direction[], readonly times: number }
  /** The endpoint list shows another entry beside that of an endpoint. */
  | { readonly kind: 'strange-entry', readonly slot: number, readonly strange: StrangeEntry, readonly durationMs: number }
  /** A control host loses its disk, while the other control hosts are killed or not. */
  | { readonly kind: 'lost-disk', readonly slot: number, readonly areOthersKilled: boolean }
  /** All entry hosts are killed at the same moment, so that callers take their streams up at hosts that have just started. */
  | { readonly kind: 'all-entries-killed' }
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

/**
 * Times of the restraint of a whole service, in milliseconds. They are longer than what the checks allow before they
 * count: three seconds until hosts share a rate, which then counts in a window of four, half a second after the
 * rejection that asks for a pause, and one second until hosts send nothing to an endpoint that is leaving.
 */
const ONLY_RATE_MS = 7500
const ALL_PAUSE_MS = 2500
const ONLY_LEAVING_MS = 3500
const SERVICE_RESTRAINT_MS = ONLY_RATE_MS + ALL_PAUSE_MS + ONLY_LEAVING_MS

/** Bounds on the duration of a cut of hosts, and of a time in which endpoints are brittle, in milliseconds: some seconds beyond the time in which hosts have to notice. */
const MIN_HOST_CUT_MS = 5000
const MAX_HOST_CUT_MS = 9000

/** Bounds of the number of connections of a burst; all other callers have 32 by default. */
const MIN_BURST_CALLERS = 6
const MAX_BURST_CALLERS = 12

/** Number of connections of a crowd, each for one request; all other callers have 32 by default. */
const CROWD_CALLERS = 48

/** Time before the first crowd, in milliseconds: what is served meanwhile is what the crowd is compared with. */
const BEFORE_CROWD_MS = 4000

/** Bounds of the number of slow readers. */
const MIN_SLOW_READERS = 2
const MAX_SLOW_READERS = 6

/** Bounds of the time that work takes on a slow machine, in hundredths of the usual time. */
const MIN_PACE = 150
const MAX_PACE = 400

/** Number of callers whose large bodies stop or come slowly, of idle connections, and of callers that are more than a host can serve. */
const LARGE_BODY_CALLERS = 60
const IDLE_CONNECTIONS = 3000
const MANY_CALLERS = 600

/** Highest time for which a port is taken, in milliseconds. */
const MAX_TAKEN_PORT_MS = 3000

/** Kind of a planned fault, or `restrained-service`, which stands for the faults of {@link planServiceRestraint}. */
export type FaultKind = PlannedFault['kind'] | 'restrained-service'

/** Kinds of faults, repeated according to their frequency. The regression seeds depend on this list. */
export const FAULT_KINDS: readonly FaultKind[] = [
  'rolling-stop', 'stop', 'stop', 'kill', 'kill', 'pause', 'pause', 'pause', 'link', 'link', 'link', 'link',
  'new-site', 'new-site', 'new-weights', 'new-weights'
]

/** Kinds of load that hosts have to bear. */
export const LOAD_FAULT_KINDS: readonly FaultKind[] = ['burst', 'slow-readers', 'slow-machine', 'slow-machine', 'full-service']

/** Kinds that end processes which hold too much memory, accept too little or don't wait for what they need at their start. */
export const END_FAULT_KINDS: readonly FaultKind[] = ['large-bodies', 'idle-connections', 'many-callers', 'taken-port']

/** All kinds of faults: {@link FAULT_KINDS}, {@link LOAD_FAULT_KINDS}, and those that have a run of their own in CI. */
export const ALL_FAULT_KINDS: readonly FaultKind[] = [...FAULT_KINDS, ...LOAD_FAULT_KINDS, 'restraint', 'restraint', 'restraint', 'evacuation', 'cold-return', 'cold-return', 'host-cut', 'host-cut', 'brittle-service', 'endless-answers', 'crowd', 'second-answers', 'second-answers', 'bytes-behind', 'lost-disk', 'all-entries-killed', 'silent-connections', 'silent-connections', 'strange-entry', ...END_FAULT_KINDS]

/**
 * @param seed - determines all faults
 * @param seconds - duration of the fault phase
 * @param shape - number of processes of each role
 * @param kinds - kinds of faults to choose from
 * @returns the faults in order of time; they include a rolling stop, and the restraint of a service, near the start if `kinds` has these kinds
 */
export function planFaults (seed: number, seconds: number, shape: SoakShape, kinds = FAULT_KINDS): PlannedFault[] {
  const random = new SeededRandom(seed)
  const faults: PlannedFault[] = kinds.includes('rolling-stop') ? [{ atMs: FIRST_FAULT_MS, kind: 'rolling-stop', gapMs: ROLLING_GAP_MS }] : []
  const drawnKinds = kinds.filter(kind => kind !== 'restrained-service')
  for (let atMs = random.between(0, MAX_GAP_MS); drawnKinds.length > 0 && atMs < seconds * 1000; atMs += random.between(MIN_GAP_MS, MAX_GAP_MS)) {
    faults.push(drawFault(random, random.pick(drawnKinds), atMs, shape))
  }
  const planned = kinds.includes('restrained-service') ? [...planServiceRestraint(seed, shape), ...faults.filter(fault => !replacesServiceRestraint(fault, shape))] : faults
  return planned.sort((left, right) => left.atMs - right.atMs)
}

/**
 * Plans restraints of all plain endpoints. Hosts prefer the endpoint with the lowest mean latency that they have seen,
 * so an endpoint that is restrained by itself may get no requests meanwhile, and a host that ignores restraints shows
 * nothing. Here, one endpoint asks for a rate while the others ask for pauses; then all ask for a pause, and at the end
 * the first one announces that it is leaving. The rate comes first, while rejected requests may still be sent elsewhere:
 * the rejections by all endpoints use up the retry budget, and rejected requests are then refused. A burst of short
 * requests adds to the traffic: in the busiest four seconds of five plays, 32 callers alone sent 27 to 38
 * requests to the endpoint with the rate, and its check allows 23.
 */
function planServiceRestraint (seed: number, { plainEndpoints }: SoakShape): PlannedFault[] {
  const restrained = seed % plainEndpoints
  const others = Array.from({ length: plainEndpoints }, (_, slot) => slot).filter(slot => slot !== restrained)
  const restrain = (atMs: number, slot: number, asks: RestraintKind, durationMs: number): PlannedFault => ({ atMs: FIRST_FAULT_MS + atMs, kind: 'restraint', slot, asks, durationMs })
  return [
    { atMs: FIRST_FAULT_MS, kind: 'burst', customer: drawCustomer(new SeededRandom(seed)), callers: MIN_BURST_CALLERS, durationMs: SERVICE_RESTRAINT_MS },
    ...others.map(slot => restrain(0, slot, 'pause', SERVICE_RESTRAINT_MS)),
    restrain(0, restrained, 'rate', ONLY_RATE_MS),
    restrain(ONLY_RATE_MS, restrained, 'pause', ALL_PAUSE_MS),
    restrain(ONLY_RATE_MS + ALL_PAUSE_MS, restrained, 'leaving', ONLY_LEAVING_MS)
  ]
}

/** Returns whether a fault would replace a restraint of {@link planServiceRestraint}; an endpoint asks for one at a time. */
function replacesServiceRestraint (fault: PlannedFault, { plainEndpoints }: SoakShape): boolean {
  return fault.kind === 'restraint' && fault.slot < plainEndpoints && fault.atMs < FIRST_FAULT_MS + SERVICE_RESTRAINT_MS
}

function drawFault (random: SeededRandom, kind: PlannedFault['kind'], atMs: number, shape: SoakShape): PlannedFault {
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
    case 'burst': return { atMs, kind, customer: drawCustomer(random), callers: MIN_BURST_CALLERS + random.index(MAX_BURST_CALLERS - MIN_BURST_CALLERS), durationMs }
    case 'slow-readers': return { atMs, kind, callers: MIN_SLOW_READERS + random.index(MAX_SLOW_READERS - MIN_SLOW_READERS), durationMs }
    case 'slow-machine': return { atMs, kind, slot: random.index(slotCount('endpoint', shape)), pace: Math.round(random.between(MIN_PACE, MAX_PACE)), durationMs }
    case 'full-service': return { atMs, kind, durationMs }
    case 'brittle-service': return { atMs, kind, durationMs: Math.round(random.between(MIN_HOST_CUT_MS, MAX_HOST_CUT_MS)) }
    case 'crowd': return { atMs: Math.max(atMs, BEFORE_CROWD_MS), kind, slot: random.index(slotCount('entry', shape)), callers: CROWD_CALLERS, durationMs: Math.round(random.between(MIN_HOST_CUT_MS, MAX_HOST_CUT_MS)) }
    case 'endless-answers': return { atMs, kind, slot: random.index(slotCount('endpoint', shape)), part: random.pick(ENDLESS_PARTS), durationMs }
    case 'second-answers': return { atMs, kind, slot: random.index(shape.plainEndpoints), answers: random.pick(SECOND_ANSWER_KINDS), durationMs: Math.round(random.between(MIN_RESTRAINT_MS, MAX_RESTRAINT_MS)) }
    case 'bytes-behind': return { atMs, kind, callers: MIN_SLOW_READERS + random.index(MAX_SLOW_READERS - MIN_SLOW_READERS), bytes: random.pick(BYTES_BEHIND), durationMs }
    case 'large-bodies': return { atMs, kind, slot: random.index(slotCount('entry', shape)), bodies: random.pick(LARGE_BODIES), callers: LARGE_BODY_CALLERS, durationMs }
    case 'idle-connections': return { atMs, kind, slot: random.index(slotCount('entry', shape)), connections: IDLE_CONNECTIONS, durationMs }
    case 'many-callers': return { atMs, kind, slot: random.index(slotCount('entry', shape)), callers: MANY_CALLERS, durationMs: Math.round(random.between(MIN_HOST_CUT_MS, MAX_HOST_CUT_MS)) }
    case 'taken-port': {
      const role = random.pick(['entry', 'control'] as const)
      return { atMs, kind, role, slot: random.index(slotCount(role, shape)), isAdminPort: random.index(2) === 0, durationMs: Math.round(random.between(MIN_DURATION_MS, MAX_TAKEN_PORT_MS)) }
    }
    case 'host-cut': return { atMs, kind, slots: drawHosts(random, shape), cut: random.pick(HOST_CUTS), durationMs: Math.round(random.between(MIN_HOST_CUT_MS, MAX_HOST_CUT_MS)) }
    case 'silent-connections': return { atMs, kind, scope: random.pick<SilenceScope>(['all', 'control-hosts', { entry: random.index(shape.entries) }]), directions: random.pick(SILENT_DIRECTIONS), times: 1 + random.index(MAX_SILENCES) }
    case 'strange-entry': return { atMs: Math.max(atMs, BEFORE_CROWD_MS), kind, slot: random.index(slotCount('endpoint', shape)), strange: random.pick(STRANGE_ENTRIES), durationMs: Math.round(random.between(MIN_HOST_CUT_MS, MAX_HOST_CUT_MS)) }
    case 'lost-disk': return { atMs, kind, slot: random.index(shape.controls), areOthersKilled: random.index(2) === 0 }
    case 'all-entries-killed':
    case 'new-site':
    case 'new-weights': return { atMs, kind }
  }
}

function drawCustomer (random: SeededRandom): string {
  return random.pick(CUSTOMERS).name
}

/** Draws one host, or all hosts of a data centre; at least one other host keeps its links. */
function drawHosts (random: SeededRandom, { entries }: SoakShape): number[] {
  const slots = Array.from({ length: entries }, (_, slot) => slot)
  if (random.index(2) === 0) return [random.pick(slots)]
  const dataCentre = random.pick(DATA_CENTRES)
  return slots.filter(slot => dataCentreOf(slot) === dataCentre).slice(0, entries - 1)
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
