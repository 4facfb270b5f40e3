/** All processes of one run: control hosts and endpoints behind proxies, and entry hosts that callers reach directly. */
import { setTimeout as sleep } from 'node:timers/promises'
import { crc32 } from 'node:zlib'
import type { LoadFeature } from '@eelgrassmux/routing/features/LoadFeatures'
import { EndpointListServer } from './EndpointListServer.js'
import { endpointLineSchema, type EndlessLine, type RejectionLine, type RunLine, type TurnedAwayLine } from './standinProtocol.js'
import type { SilenceScope, SlotRole, SoakShape } from './faultPlan.js'
import { LoopbackProxy, type Direction, type HostCut } from '@eelgrassmux/rpc/harness/LoopbackProxy'
import { MEMORY_MB } from './MemoryLimit.js'
import { ProcessSlot, type Incarnation, type SlotPlan } from './ProcessSlot.js'
import { COLD_DURATION_MS, dataCentreOf, MODEL, MODEL_SERVICE, PLAIN_SERVICE, RETRY_BUDGET } from './soakSite.js'

const MILLISECONDS_PER_SECOND = 1000

/** Suffix of the labels of processes that have not been restarted. */
export const FIRST_INCARNATION = '#1'

/** All processes log, and entry hosts record the history of each request, because a failed seed must be explained from these files. */
const LOG_ENVIRONMENT = { ROARR_LOG: 'true', EELGRASSMUX_KEPT_STORIES: '1', EELGRASSMUX_LOG_LINES_PER_SECOND: '5000' }

/** Address from which control hosts connect to each other. */
const CONTROL_HOST_IP = '127.0.0.1'

/** The largest retry budget that the settings of an entry host allow. */
const UNLIMITED_RETRIES = { ratio: 1, slack: 100_000 } as const

/** Settings of the processes of one run. */
export interface ClusterSettings {
  readonly shape: SoakShape
  /** Folder for logs and data. */
  readonly folder: string
  /** Grace period of entry hosts from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number
  /** Control hosts acknowledge changes without putting them in force: a break that the checks must detect. */
  readonly isForgetful: boolean
  /** Restarted endpoints are listed as cold for a while. */
  readonly hasColdReturns: boolean
  /** Entry hosts ignore what endpoints ask of them: a break that the checks must detect. */
  readonly isDeaf: boolean
  /** Entry hosts refuse all requests beyond a few: a break that the checks must detect. */
  readonly areHostsFrail: boolean
  /** Whether entry hosts believe statements that may belong to other sends. */
  readonly areHostsCredulous: boolean
  /** Whether entry hosts answer connection errors while requests are pending. */
  readonly areHostsHasty: boolean
  /** Entry hosts never close their connections to endpoints: a break that the checks must detect. */
  readonly areConnectionsLeftOpen: boolean
  /** Entry hosts do not reach each other: a break that the checks must detect. */
  readonly areHostsAlone: boolean
  /** Features for hard load that entry hosts use. */
  readonly loadFeatures: readonly LoadFeature[]
  /** Entry hosts hold ever more memory: a break that the checks must detect. */
  readonly doHostsHoard: boolean
  /** Entry hosts end by themselves: a break that the checks must detect. */
  readonly doHostsEnd: boolean
  /** Entry hosts get a retry budget without limit: a break that the checks must detect. */
  readonly hasUnlimitedRetries: boolean
  /** Called for each rejection by an endpoint that asks for a pause. */
  onRejection (rejection: RejectionLine): void
  /** Called for each rejection by an endpoint that asks for nothing. */
  onTurnedAway (line: TurnedAwayLine): void
  /** Called for each answer without end, when it begins and when its connection is closed. */
  onEndless (line: EndlessLine): void
  /** Called for each run on an endpoint. */
  onRun (run: RunLine): void
  /** Called for each process that has started. */
  onStart (label: string): void
  /** Called for each process that has exited; the code is null if a signal ended it. */
  onEnd (label: string, code: number | null): void
  /** Called for each process that has ended before it listened. */
  onFailedStart (label: string, error: unknown): void
}

/** Starts and stops the processes. */
export class SoakCluster {
  readonly endpointList = new EndpointListServer()
  readonly controls: ProcessSlot[] = []
  readonly entries: ProcessSlot[] = []
  readonly endpoints: ProcessSlot[] = []
  readonly #controlProxies: LoopbackProxy[] = []
  readonly #endpointProxies: LoopbackProxy[] = []
  /** Number of disks that each control host has lost. */
  readonly #disks: number[] = []

  /** @param settings - settings of the processes */
  constructor (private readonly settings: ClusterSettings) {}

  /** Starts all processes: first endpoints and control hosts, then entry hosts. */
  async start (): Promise<void> {
    const { shape } = this.settings
    const listAddress = await this.endpointList.listen()
    const controlAddresses = await this.#openProxies(this.#controlProxies, shape.controls)
    const endpointAddresses = await this.#openProxies(this.#endpointProxies, shape.plainEndpoints + shape.engines)
    this.endpoints.push(...endpointAddresses.map((address, index) => this.#endpointSlot(index, address)))
    this.controls.push(...controlAddresses.map((address, index) => this.#controlSlot(index, address, controlAddresses, listAddress)))
    await Promise.all([...this.endpoints, ...this.controls].map(async slot => { await slot.start() }))
    this.entries.push(...Array.from({ length: shape.entries }, (_, index) => this.#entrySlot(index, controlAddresses)))
    await Promise.all(this.entries.map(async slot => { await slot.start() }))
  }

  /** Number of endpoints of the plain service, which are the first ones. */
  get plainEndpointCount (): number { return this.settings.shape.plainEndpoints }

  /** @returns the slots of a role */
  slots (role: SlotRole): readonly ProcessSlot[] {
    switch (role) {
      case 'entry': return this.entries
      case 'control': return this.controls
      case 'endpoint': return this.endpoints
    }
  }

  /** @returns the proxy in front of a process */
  proxy (role: 'control' | 'endpoint', index: number): LoopbackProxy {
    const proxy = (role === 'control' ? this.#controlProxies : this.#endpointProxies)[index]
    if (proxy === undefined) throw new Error(`no proxy in front of ${role} ${index}`)
    return proxy
  }

  /**
   * @param entry - index of an entry host
   * @param cut - what becomes of its links to all endpoints; undefined if they are sound
   */
  setHostCut (entry: number, cut: HostCut | undefined): void {
    for (const proxy of this.#endpointProxies) proxy.setHostCut(addressOfEntry(entry), cut)
  }

  /**
   * Silences connections that are open now, for good.
   *
   * @param scope - connections that go silent
   * @param directions - directions in which nothing arrives any more
   * @returns number of connections
   */
  silenceConnections (scope: SilenceScope, directions: readonly Direction[]): number {
    const proxies = scope === 'all' ? [...this.#controlProxies, ...this.#endpointProxies] : this.#controlProxies
    const host = scope === 'all' ? undefined : scope === 'control-hosts' ? CONTROL_HOST_IP : addressOfEntry(scope.entry)
    return proxies.reduce((sum, proxy) => sum + proxy.silenceOpenConnections(directions, host), 0)
  }

  /**
   * Empties the disk of a control host; takes effect with the next start of its process.
   *
   * @param control - index of the control host
   */
  loseDisk (control: number): void {
    this.#disks[control] = (this.#disks[control] ?? 0) + 1
  }

  /** Removes the faults of all links and resumes all paused processes. */
  heal (): void {
    for (const proxy of [...this.#controlProxies, ...this.#endpointProxies]) proxy.setFault(undefined)
    this.entries.forEach((_, index) => { this.setHostCut(index, undefined) })
    for (const slot of this.#allSlots()) slot.current?.process.signal('SIGCONT')
  }

  /** Stops all processes and proxies. */
  async stop (): Promise<void> {
    await Promise.all(this.#allSlots().map(async slot => { await slot.close() }))
    for (const proxy of [...this.#controlProxies, ...this.#endpointProxies]) proxy.close()
    this.endpointList.close()
    // Gives the log streams one turn of the event loop to end.
    await sleep(0)
  }

  /** @returns path of the log file of an incarnation; empty if no slot has that name */
  logFile (label: string): string {
    const slot = this.#allSlots().find(({ name }) => label.startsWith(`${name}#`))
    return slot?.logFile(label) ?? ''
  }

  #dataFolder (control: number): string {
    return `${this.settings.folder}/control-${control}-disk-${this.#disks[control] ?? 0}`
  }

  #allSlots (): ProcessSlot[] {
    return [...this.entries, ...this.controls, ...this.endpoints]
  }

  async #openProxies (proxies: LoopbackProxy[], count: number): Promise<string[]> {
    proxies.push(...Array.from({ length: count }, () => new LoopbackProxy()))
    return await Promise.all(proxies.map(async proxy => await proxy.listen()))
  }

  #endpointSlot (index: number, address: string): ProcessSlot {
    const isEngine = index >= this.settings.shape.plainEndpoints
    const name = `endpoint-${index}`
    return new ProcessSlot({
      name,
      ...this.#commonPlan('endpoint'),
      args: label => ['--id', label, '--software', softwareOf(label), ...isEngine ? ['--model', MODEL, '--weights-version', '1'] : []],
      onLine: line => { this.#onEndpointLine(line) },
      onStart: incarnation => {
        this.#attachProxy(this.proxy('endpoint', index), incarnation, 'http')
        this.endpointList.put(name, {
          id: incarnation.label,
          service: isEngine ? MODEL_SERVICE : PLAIN_SERVICE,
          address,
          dataCentre: dataCentreOf(index),
          slots: 16,
          isLeaving: false,
          isBusy: false,
          software: softwareOf(incarnation.label),
          isCold: this.settings.hasColdReturns && !incarnation.label.endsWith(FIRST_INCARNATION),
          models: isEngine ? [{ model: MODEL, version: 1 }] : []
        })
        setTimeout(() => { this.endpointList.markWarm(incarnation.label) }, COLD_DURATION_MS).unref()
      }
    })
  }

  #controlSlot (index: number, address: string, controlAddresses: readonly string[], listAddress: string): ProcessSlot {
    const name = `control-${index}`
    return new ProcessSlot({
      name,
      ...this.#commonPlan('control'),
      args: label => [
        '--data-centre', dataCentreOf(index), '--data-folder', this.#dataFolder(index), '--advertise', address, '--list', listAddress,
        // A host that has lost its disk must not found a second group.
        '--bootstrap', String(label.endsWith(FIRST_INCARNATION)), '--join', controlAddresses.join(','), '--minimum-voters', String(controlAddresses.length), '--forgetful', String(this.settings.isForgetful), '--memory-mb', String(MEMORY_MB.control), ...this.#budgetArguments()
      ],
      onStart: incarnation => { this.#attachProxy(this.proxy('control', index), incarnation, 'rpc') }
    })
  }

  #entrySlot (index: number, controlAddresses: readonly string[]): ProcessSlot {
    return new ProcessSlot({
      name: `entry-${index}`,
      ...this.#commonPlan('entry'),
      // Each entry host has its own loopback address, which identifies it although its port is assigned by the system.
      args: () => ['--host', addressOfEntry(index), '--data-centre', dataCentreOf(index), '--control', controlAddresses.join(','), '--deaf', String(this.settings.isDeaf), '--alone', String(this.settings.areHostsAlone), '--frail', String(this.settings.areHostsFrail), '--credulous', String(this.settings.areHostsCredulous), '--hasty', String(this.settings.areHostsHasty), '--leaves-open', String(this.settings.areConnectionsLeftOpen), '--hoards', String(this.settings.doHostsHoard), '--ends', String(this.settings.doHostsEnd), '--memory-mb', String(MEMORY_MB.entry), ...this.#loadArguments()],
      environment: { ...LOG_ENVIRONMENT, EELGRASSMUX_STOP_GRACE_SECONDS: String(this.settings.graceMs / MILLISECONDS_PER_SECOND) },
      onStart: incarnation => { this.settings.onStart(incarnation.label) }
    })
  }

  #loadArguments (): string[] {
    const { loadFeatures } = this.settings
    return [...this.#budgetArguments(), ...(loadFeatures.length === 0 ? [] : ['--load-features', loadFeatures.join(',')])]
  }

  /** Control hosts lend out the part of the budget that hosts share. */
  #budgetArguments (): string[] {
    const { ratio, slack } = this.settings.hasUnlimitedRetries ? UNLIMITED_RETRIES : RETRY_BUDGET
    return ['--retry-ratio', String(ratio), '--retry-slack', String(slack)]
  }

  #commonPlan (program: string): Pick<SlotPlan, 'program' | 'logFolder' | 'environment' | 'onEnd' | 'onFailedStart'> {
    return {
      environment: LOG_ENVIRONMENT,
      program: new URL(`../${program}.js`, import.meta.url.replace('/src/lib/', '/dist/lib/')),
      logFolder: this.settings.folder,
      onEnd: (label, code) => { this.settings.onEnd(label, code) },
      onFailedStart: (label, error) => { this.settings.onFailedStart(label, error) }
    }
  }

  #attachProxy (proxy: LoopbackProxy, { label, addresses }: Incarnation, addressName: string): void {
    proxy.target = Number(addresses[addressName]?.split(':')[1])
    this.settings.onStart(label)
  }

  #onEndpointLine (text: string): void {
    const line = endpointLineSchema.safeParse(JSON.parse(text))
    // ManagedProcess reads the other kind of line, which has the address that the process listens on.
    if (!line.success) return
    if (line.data.event === 'run') this.settings.onRun(line.data)
    else if (line.data.event === 'rejected') this.settings.onRejection(line.data)
    else if (line.data.event === 'turned-away') this.settings.onTurnedAway(line.data)
    else if (line.data.event !== 'weights') this.settings.onEndless(line.data)
    else this.endpointList.setWeights(line.data.endpoint, MODEL, line.data.version)
  }
}

function addressOfEntry (index: number): string {
  return `127.0.1.${index + 1}`
}

/** Returns the software of an incarnation: endpoints of two versions serve side by side, and a restart may bring the other one. */
function softwareOf (label: string): string {
  return `v${1 + crc32(label) % 2}`
}
