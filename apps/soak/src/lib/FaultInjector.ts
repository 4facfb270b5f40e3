/** Injects the planned faults at their times, so that they may overlap, and records them on the timeline. */
import { createServer } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import type { Balancer } from './Balancer.js'
import type { PlannedFault, SlotRole } from './faultPlan.js'
import type { ExtraCallers } from './ExtraCallers.js'
import type { Held } from './HeldConnections.js'
import type { Operator } from './Operator.js'
import { planBurst, planCrowd, planSlowReaders } from './planRepeatedRequests.js'
import type { AnswersInTimeCheck } from './checks/AnswersInTimeCheck.js'
import type { ServedAsBeforeCheck } from './checks/ServedAsBeforeCheck.js'
import type { CustomersAreServedCheck } from './checks/CustomersAreServedCheck.js'
import type { BrittleEndpointsStandCheck } from './checks/BrittleEndpointsStandCheck.js'
import type { ConfigurationCheck } from './checks/ConfigurationCheck.js'
import type { CutOffHostsServeCheck } from './checks/CutOffHostsServeCheck.js'
import type { EvacuationsHoldCheck } from './checks/EvacuationsHoldCheck.js'
import type { Condition, Restraint } from './standinProtocol.js'
import type { Incarnation, ProcessSlot } from './ProcessSlot.js'
import type { SoakCluster } from './SoakCluster.js'
import { HEADER } from './soakHeaders.js'
import { toStrangeEntry } from './strangeEntries.js'
import type { Timeline } from './Timeline.js'

/** Timeout for an order to an endpoint, in milliseconds; the endpoint may be paused. */
const ORDER_TIMEOUT_MS = 500

/** Number of requests that each plain endpoint runs at once while its service is full; 32 callers send some 14 a second to three of them. */
const PLACES_WHILE_FULL = 2

/** How long a disk counts as lost: a restart, and four seconds to catch up, in milliseconds. */
const LOST_DISK_MS = 6000

/** Time from a silence to the change of the site, in milliseconds. */
const CHANGE_AFTER_SILENCE_MS = 200

/** Time between silences in a row, in milliseconds: about as long as hosts take to find out the first. */
const NEXT_SILENCE_MS = 500

/** How long requests may still be sent over connections to endpoints that have gone silent, in milliseconds. */
const SILENT_ENDPOINTS_MS = 6000

/** Rejections in a second that a brittle endpoint tolerates. */
const BORNE_REJECTIONS = 4

/** Customer whose callers read slowly. */
const SLOW_READERS_CUSTOMER = 'clinic'

/** Options of planned stops. */
export interface StopOptions {
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number
  /** Sends SIGKILL in place of SIGTERM: a break that the checks must detect. */
  readonly isAbrupt: boolean
}

/** Checks that have to know of faults. */
export interface InformedChecks {
  readonly evacuations: EvacuationsHoldCheck
  readonly customers: CustomersAreServedCheck
  readonly cutOffHosts: CutOffHostsServeCheck
  readonly brittleEndpoints: BrittleEndpointsStandCheck
  readonly crowds: ServedAsBeforeCheck
  readonly soundEndpoints: ServedAsBeforeCheck
  readonly configuration: ConfigurationCheck
  readonly answersInTime: AnswersInTimeCheck
}

/** What callers send, and to which hosts. */
export interface CallerLoad {
  readonly extraCallers: ExtraCallers
  readonly balancer: Balancer
}

/** Injects all faults of a plan. */
export class FaultInjector {
  readonly #pending: Array<Promise<void>> = []
  readonly #evacuated = new Set<string>()
  #isHostCrowded = false
  #isHostCalled = false
  readonly #heldHosts = new Set<ProcessSlot>()
  #strangeEntries = 0
  #isDiskLost = false
  /** Monotonic milliseconds until which each entry host is cut off. */
  readonly #cutUntil = new Map<number, number>()

  /**
   * @param cluster - processes and links to disturb
   * @param operator - changes sites and weights
   * @param timeline - records the faults
   * @param checks - notified of acknowledged evacuations, of bursts, of cuts and of brittle endpoints
   * @param load - starts further callers, and crowds one host
   * @param options - options of planned stops
   */
  constructor (
    private readonly cluster: SoakCluster, private readonly operator: Operator, private readonly timeline: Timeline,
    private readonly checks: InformedChecks, private readonly load: CallerLoad, private readonly options: StopOptions
  ) {}

  /**
   * @param plan - faults in order of time
   * @returns a promise that resolves when the last fault is over
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
      case 'burst': return await this.#burst(fault)
      case 'slow-readers': return await this.#slowReaders(fault.callers, fault.durationMs)
      case 'slow-machine': return await this.#setCondition(this.#slot('endpoint', fault.slot), { kind: 'slow', pace: fault.pace, durationMs: fault.durationMs })
      case 'crowd': return await this.#crowdHost(fault)
      case 'endless-answers': return await this.#setCondition(this.#slot('endpoint', fault.slot), { kind: 'endless', part: fault.part, durationMs: fault.durationMs })
      case 'second-answers': return await this.#setCondition(this.#slot('endpoint', fault.slot), { kind: 'second-answers', answers: fault.answers, places: PLACES_WHILE_FULL, durationMs: fault.durationMs })
      case 'bytes-behind':
        this.timeline.record('callers', `${fault.callers} send ${fault.bytes} behind their calls`, false, fault.durationMs)
        return await this.load.extraCallers.runWithBytesBehind(fault.callers, fault.bytes, fault.durationMs)
      case 'full-service': return await this.#fillService(fault.durationMs)
      case 'brittle-service': return await this.#makeBrittle(fault.durationMs)
      case 'host-cut': return await this.#cutHosts(fault)
      case 'silent-connections': return await this.#silenceConnections(fault)
      case 'strange-entry': return await this.#listStrangeEntry(fault)
      case 'lost-disk': return await this.#loseDisk(fault)
      case 'all-entries-killed': return this.cluster.entries.forEach(slot => { this.#kill(slot) })
      case 'large-bodies': return await this.#holdConnections(fault.slot, fault.callers, fault.bodies, fault.durationMs)
      case 'idle-connections': return await this.#holdConnections(fault.slot, fault.connections, 'nothing', fault.durationMs)
      case 'many-callers': return await this.#callHost(fault)
      case 'taken-port': return await this.#takePort(fault)
      case 'cold-return': return this.#kill(this.#slot('endpoint', fault.slot))
      case 'new-site':
        this.timeline.record('operator', 'stores a new site', false)
        return await this.operator.putSite()
      case 'new-weights':
        this.timeline.record('operator', 'requests new weights', false)
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
    // A second SIGTERM would ask the process to exit at once.
    if (current === undefined || this.timeline.stopOf(current.label) !== undefined) return
    const { graceMs, isAbrupt } = this.options
    if (role === 'endpoint') this.cluster.endpointList.markLeaving(current.label)
    this.timeline.recordStop(current.label, graceMs)
    current.process.signal(isAbrupt ? 'SIGKILL' : 'SIGTERM')
    await Promise.race([sleep(graceMs, undefined, { ref: false }), current.process.exited()])
    if (!isCurrent(slot, current)) return
    // Killing an endpoint cuts off its runs, which is excused; an entry host should have exited by itself.
    this.timeline.recordKill(current.label, role !== 'entry', 'after its grace period')
    current.process.signal('SIGKILL')
  }

  #kill ({ current }: ProcessSlot): void {
    if (current === undefined) return
    this.timeline.recordKill(current.label, true)
    current.process.signal('SIGKILL')
  }

  /** A disk counts as lost until some seconds after its host is back; the group of three tolerates one at a time. */
  async #loseDisk ({ slot: index, areOthersKilled }: Extract<PlannedFault, { kind: 'lost-disk' }>): Promise<void> {
    if (this.#isDiskLost) return
    this.#isDiskLost = true
    const slot = this.#slot('control', index)
    this.timeline.record(slot.name, `loses its disk${areOthersKilled ? ', the other control hosts are killed' : ''}`, true, LOST_DISK_MS)
    this.cluster.loseDisk(index)
    this.#kill(slot)
    if (areOthersKilled) for (const other of this.cluster.controls) if (other !== slot) this.#kill(other)
    await sleep(LOST_DISK_MS)
    this.#isDiskLost = false
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
    // The later of two overlapping faults may end early. The timeline then excuses more failures than the faults can cause, never fewer.
    proxy.setFault(undefined)
  }

  /** Cuts hosts off unless no other host would have its links: nobody could serve their callers then. */
  async #cutHosts ({ slots, cut, durationMs }: Extract<PlannedFault, { kind: 'host-cut' }>): Promise<void> {
    const now = performance.now()
    const hasOther = this.cluster.entries.some((_, slot) => !slots.includes(slot) && (this.#cutUntil.get(slot) ?? 0) <= now)
    if (!hasOther) return
    for (const slot of slots) this.#cutUntil.set(slot, Math.max(this.#cutUntil.get(slot) ?? 0, now + durationMs))
    const hosts = slots.map(slot => this.#slot('entry', slot).name)
    for (const host of hosts) this.timeline.record(host, `cut off from all endpoints: ${cut}`, true, durationMs)
    this.checks.cutOffHosts.recordCut(hosts, durationMs)
    for (const slot of slots) this.cluster.setHostCut(slot, cut)
    await sleep(durationMs)
    for (const slot of slots) this.cluster.setHostCut(slot, undefined)
  }

  /** Orders an endpoint to ask for a restraint; an endpoint that announces that it is leaving is stopped afterwards. */
  async #restrain ({ slot: index, asks, durationMs }: Extract<PlannedFault, { kind: 'restraint' }>): Promise<void> {
    const slot = this.#slot('endpoint', index)
    const { current } = slot
    if (current === undefined || !await sendOrder(current, '/restraint', { kind: asks, durationMs })) return
    this.timeline.record(current.label, `asks for ${asks}`, false, durationMs)
    await sleep(durationMs)
    if (asks === 'leaving' && isCurrent(slot, current)) await this.#stop(slot, 'endpoint')
  }

  async #silenceConnections ({ scope, directions, times }: Extract<PlannedFault, { kind: 'silent-connections' }>): Promise<void> {
    for (let time = 0; time < times; time += 1) {
      const count = this.cluster.silenceConnections(scope, directions)
      this.timeline.record('connections', `${count} go silent (${JSON.stringify(scope)}, ${directions.join(' and ')})`, false)
      if (scope === 'all') for (const { name } of this.cluster.endpoints) this.timeline.record(name, 'connections go silent', true, SILENT_ENDPOINTS_MS)
      this.checks.configuration.recordSilence()
      await sleep(CHANGE_AFTER_SILENCE_MS)
      this.timeline.record('operator', 'stores a new site', false)
      await this.operator.putSite()
      await sleep(NEXT_SILENCE_MS)
    }
  }

  async #burst ({ customer, callers, durationMs }: Extract<PlannedFault, { kind: 'burst' }>): Promise<void> {
    this.timeline.record(customer, `sends a burst on ${callers} connections`, false, durationMs)
    this.checks.customers.recordBurst(customer, durationMs)
    await this.load.extraCallers.run(planBurst(this.load.extraCallers.nextName('burst'), customer, callers), durationMs)
  }

  /** Crowds one host at a time. */
  async #crowdHost ({ slot, callers, durationMs }: Extract<PlannedFault, { kind: 'crowd' }>): Promise<void> {
    if (this.#isHostCrowded) return
    this.#isHostCrowded = true
    const host = this.#slot('entry', slot)
    const { extraCallers, balancer } = this.load
    this.timeline.record(host.name, `most new connections go there, ${callers} callers more`, false, durationMs)
    this.checks.crowds.record(`most new connections went to ${host.name}`, durationMs)
    balancer.crowd(host)
    await extraCallers.run(planCrowd(extraCallers.nextName('crowd'), callers), durationMs)
    balancer.crowd(undefined)
    this.#isHostCrowded = false
  }

  /** Another writer adds an entry to the endpoint list. */
  async #listStrangeEntry ({ slot: index, strange, durationMs }: Extract<PlannedFault, { kind: 'strange-entry' }>): Promise<void> {
    const { name, current } = this.#slot('endpoint', index)
    const { endpointList } = this.cluster
    const listed = current === undefined ? undefined : endpointList.find(current.label)
    if (listed === undefined) return
    this.#strangeEntries += 1
    const slot = `strange-${this.#strangeEntries}`
    const description = `another entry (${strange}) was listed beside ${name}`
    this.timeline.record('list', description, false, durationMs)
    this.checks.soundEndpoints.record(description, durationMs)
    endpointList.put(slot, toStrangeEntry(listed, strange, slot))
    await sleep(durationMs)
    endpointList.remove(slot)
  }

  async #slowReaders (callers: number, durationMs: number): Promise<void> {
    this.timeline.record(SLOW_READERS_CUSTOMER, `reads slowly on ${callers} connections`, false, durationMs)
    await this.load.extraCallers.run(planSlowReaders(this.load.extraCallers.nextName('slow'), SLOW_READERS_CUSTOMER, callers), durationMs)
  }

  /** More callers than one host can serve call one host at a time. */
  async #callHost ({ slot, callers, durationMs }: Extract<PlannedFault, { kind: 'many-callers' }>): Promise<void> {
    if (this.#isHostCalled) return
    this.#isHostCalled = true
    const host = this.#slot('entry', slot)
    this.timeline.record('callers', `${callers} call ${host.name}`, false, durationMs)
    await this.load.extraCallers.runWithDeadline(host, callers, this.checks.answersInTime, durationMs)
    this.#isHostCalled = false
  }

  /** Connections to a host are held by one group of callers at a time. */
  async #holdConnections (slot: number, count: number, held: Held, durationMs: number): Promise<void> {
    const host = this.#slot('entry', slot)
    if (this.#heldHosts.has(host)) return
    this.#heldHosts.add(host)
    this.timeline.record('callers', `${count} hold connections to ${host.name}, ${held === 'nothing' ? 'idle' : `their large bodies are ${held}`}`, false, durationMs)
    await this.load.extraCallers.holdConnections(host, count, held, durationMs)
    this.#heldHosts.delete(host)
  }

  /** Another process listens on a port of the process that has just ended; the next one is told to listen there. */
  async #takePort ({ role, slot: index, isAdminPort, durationMs }: Extract<PlannedFault, { kind: 'taken-port' }>): Promise<void> {
    const slot = this.#slot(role, index)
    const { current } = slot
    const [host, port] = current?.addresses[isAdminPort ? 'admin' : role === 'entry' ? 'http' : 'rpc']?.split(':') ?? []
    if (current === undefined || port === undefined) return
    slot.startNextWith([isAdminPort ? '--admin-port' : '--port', port])
    this.#kill(slot)
    await current.process.exited()
    const listener = createServer(socket => { socket.destroy() }).on('error', () => {})
    this.timeline.record(slot.name, `${isAdminPort ? 'admin port' : 'port'} is taken`, true, durationMs)
    listener.listen(Number(port), host)
    await sleep(durationMs)
    listener.close()
  }

  async #fillService (durationMs: number): Promise<void> {
    const plain = this.cluster.endpoints.slice(0, this.cluster.plainEndpointCount)
    await Promise.all(plain.map(async slot => { await this.#setCondition(slot, { kind: 'full', places: PLACES_WHILE_FULL, durationMs }) }))
  }

  async #makeBrittle (durationMs: number): Promise<void> {
    const plain = this.cluster.endpoints.slice(0, this.cluster.plainEndpointCount)
    this.checks.brittleEndpoints.recordTime(plain.map(({ name }) => name), durationMs)
    await Promise.all(plain.map(async slot => { await this.#setCondition(slot, { kind: 'brittle', places: PLACES_WHILE_FULL, bears: BORNE_REJECTIONS, durationMs }) }))
  }

  async #setCondition ({ current }: ProcessSlot, condition: Condition): Promise<void> {
    if (current === undefined || !await sendOrder(current, '/condition', condition)) return
    // Answers without end are cut off.
    this.timeline.record(current.label, describeCondition(condition), condition.kind === 'endless', condition.durationMs)
    await sleep(condition.durationMs)
  }

  async #evacuate (dataCentre: string, durationMs: number): Promise<void> {
    if (this.#evacuated.has(dataCentre)) return
    this.#evacuated.add(dataCentre)
    this.timeline.record('operator', `evacuates ${dataCentre}`, false, durationMs)
    if (await this.operator.evacuate(dataCentre, true)) this.checks.evacuations.recordAcknowledgement(dataCentre)
    await sleep(durationMs)
    this.checks.evacuations.recordLift(dataCentre)
    await this.operator.evacuate(dataCentre, false)
    this.#evacuated.delete(dataCentre)
  }

  #slot (role: SlotRole, index: number): ProcessSlot {
    const slot = this.cluster.slots(role)[index]
    if (slot === undefined) throw new Error(`no ${role} ${index}`)
    return slot
  }
}

async function sendOrder ({ label, addresses }: Incarnation, path: string, order: Restraint | Condition): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`http://${addresses.http ?? ''}${path}`, {
      method: 'POST', headers: { [HEADER.instance]: label }, body: JSON.stringify(order), signal: AbortSignal.timeout(ORDER_TIMEOUT_MS)
    })
    await body.dump()
    return statusCode === 200
  } catch {
    // The endpoint is paused or has just exited.
    return false
  }
}

function describeCondition (condition: Condition): string {
  switch (condition.kind) {
    case 'slow': return `works at pace ${condition.pace}`
    case 'full': return `has ${condition.places} places`
    case 'brittle': return `has ${condition.places} places, bears ${condition.bears} rejections`
    case 'second-answers': return `answers twice (${condition.answers}), has ${condition.places} places`
    case 'endless': return `sends answers whose ${condition.part} has no end`
  }
}

function isCurrent ({ current }: ProcessSlot, incarnation: Incarnation): boolean {
  return current === incarnation
}
