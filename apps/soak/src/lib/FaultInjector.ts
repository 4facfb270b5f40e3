/** Carries a plan of faults out, in series and overlapping, and keeps the time line. */
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import type { PlannedFault, SlotRole } from './faultPlan.js'
import type { Operator } from './Operator.js'
import type { EvacuationsHoldCheck } from './checks/EvacuationsHoldCheck.js'
import type { Restraint } from './standinProtocol.js'
import type { Incarnation, ProcessSlot } from './ProcessSlot.js'
import type { SoakCluster } from './SoakCluster.js'
import { HEADER } from './soakHeaders.js'
import type { Timeline } from './Timeline.js'

/** Longest wait for an endpoint to take an order, in milliseconds; it may be paused. */
const ORDER_TIMEOUT_MS = 500

/** How planned stops are made. */
export interface StopOptions {
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number
  /** Planned stops are made by SIGKILL alone: a break for the checks. */
  readonly isAbrupt: boolean
}

/** Injects faults until its plan is over. */
export class FaultInjector {
  readonly #pending: Array<Promise<void>> = []
  readonly #evacuated = new Set<string>()

  /**
   * @param cluster - processes and links
   * @param operator - changes sites and weights
   * @param timeline - takes what was done
   * @param evacuations - told of evacuations
   * @param terms - of planned stops
   */
  constructor (
    private readonly cluster: SoakCluster, private readonly operator: Operator, private readonly timeline: Timeline,
    private readonly evacuations: EvacuationsHoldCheck, private readonly terms: StopOptions
  ) {}

  /**
   * @param plan - what to do when
   * @returns when all of it is done and over
   */
  async run (plan: readonly PlannedFault[]): Promise<void> {
    const startedAt = performance.now()
    for (const fault of plan) {
      await sleep(Math.max(0, startedAt + fault.atMs - performance.now()))
      this.#pending.push(this.#inject(fault))
    }
    await Promise.all(this.#pending)
  }

  async #inject (fault: PlannedFault): Promise<void> {
    switch (fault.kind) {
      case 'rolling-stop': return await this.#rollingStop(fault.gapMs)
      case 'stop': return await this.#stop(this.#slot(fault.role, fault.slot), fault.role)
      case 'kill': return this.#kill(this.#slot(fault.role, fault.slot))
      case 'pause': return await this.#pause(this.#slot(fault.role, fault.slot), fault.durationMs)
      case 'link': return await this.#breakLink(fault)
      case 'restraint': return await this.#restrain(fault)
      case 'evacuation': return await this.#evacuate(fault.dataCentre, fault.durationMs)
      case 'cold-return': return this.#kill(this.#slot('endpoint', fault.slot))
      case 'new-site':
        this.timeline.record('operator', 'puts a site', false)
        return await this.operator.putSite()
      case 'new-weights':
        this.timeline.record('operator', 'names weights', false)
        return await this.operator.nameWeights()
    }
  }

  async #rollingStop (gapMs: number): Promise<void> {
    const stops: Array<Promise<void>> = []
    for (const slot of this.cluster.entries) {
      stops.push(this.#stop(slot, 'entry'))
      await sleep(gapMs)
    }
    await Promise.all(stops)
  }

  async #stop (slot: ProcessSlot, role: SlotRole): Promise<void> {
    const { current } = slot
    // A second SIGTERM would be the operator's wish to have it ended at once.
    if (current === undefined || this.timeline.stopOf(current.label) !== undefined) return
    const { graceMs, isAbrupt } = this.terms
    if (role === 'endpoint') this.cluster.endpointList.markLeaving(current.label)
    this.timeline.recordStop(current.label, graceMs)
    current.process.signal(isAbrupt ? 'SIGKILL' : 'SIGTERM')
    await Promise.race([sleep(graceMs, undefined, { ref: false }), current.process.exited()])
    if (!isCurrent(slot, current)) return
    // An endpoint that is ended inside its work breaks it off; an entry host should have ended by itself.
    this.timeline.recordKill(current.label, role !== 'entry', 'after its grace time')
    current.process.signal('SIGKILL')
  }

  #kill ({ current }: ProcessSlot): void {
    if (current === undefined) return
    this.timeline.recordKill(current.label, true)
    current.process.signal('SIGKILL')
  }

  async #pause (slot: ProcessSlot, durationMs: number): Promise<void> {
    const { current } = slot
    if (current === undefined) return
    this.timeline.record(current.label, 'SIGSTOP', true, durationMs)
    current.process.signal('SIGSTOP')
    await sleep(durationMs)
    if (isCurrent(slot, current)) current.process.signal('SIGCONT')
  }

  async #breakLink ({ role, slot, fault, durationMs }: Extract<PlannedFault, { kind: 'link' }>): Promise<void> {
    const proxy = this.cluster.proxy(role, slot)
    this.timeline.record(`${role}-${slot}`, `link: ${fault}`, true, durationMs)
    proxy.setFault(fault)
    await sleep(durationMs)
    // The later of two overlapping faults may end early; the time line then excuses more than happened, never less.
    proxy.setFault(undefined)
  }

  /** An endpoint that says that it is leaving is stopped after a while. */
  async #restrain ({ slot: index, asks, durationMs }: Extract<PlannedFault, { kind: 'restraint' }>): Promise<void> {
    const slot = this.#slot('endpoint', index)
    const { current } = slot
    if (current === undefined || !await orderRestraint(current, { kind: asks, durationMs })) return
    this.timeline.record(current.label, `asks for ${asks}`, false, durationMs)
    await sleep(durationMs)
    if (asks === 'leaving' && isCurrent(slot, current)) await this.#stop(slot, 'endpoint')
  }

  async #evacuate (dataCentre: string, durationMs: number): Promise<void> {
    if (this.#evacuated.has(dataCentre)) return
    this.#evacuated.add(dataCentre)
    this.timeline.record('operator', `evacuates ${dataCentre}`, false, durationMs)
    if (await this.operator.evacuate(dataCentre, true)) this.evacuations.recordAcknowledgement(dataCentre)
    await sleep(durationMs)
    this.evacuations.recordLift(dataCentre)
    await this.operator.evacuate(dataCentre, false)
    this.#evacuated.delete(dataCentre)
  }

  #slot (role: SlotRole, index: number): ProcessSlot {
    const slot = this.cluster.slots(role)[index]
    if (slot === undefined) throw new Error(`no ${role} ${index}`)
    return slot
  }
}

async function orderRestraint ({ label, addresses }: Incarnation, restraint: Restraint): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`http://${addresses.http ?? ''}/restraint`, {
      method: 'POST', headers: { [HEADER.instance]: label }, body: JSON.stringify(restraint), signal: AbortSignal.timeout(ORDER_TIMEOUT_MS)
    })
    await body.dump()
    return statusCode === 200
  } catch {
    // It is paused, or has just ended.
    return false
  }
}

function isCurrent ({ current }: ProcessSlot, incarnation: Incarnation): boolean {
  return current === incarnation
}
