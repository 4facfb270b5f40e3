/** All processes of one run: control hosts and endpoints behind proxies, entry hosts as callers reach them. */
import { setTimeout as sleep } from 'node:timers/promises'
import { EndpointListServer } from './EndpointListServer.js'
import { endpointLineSchema, type RejectionLine, type RunLine } from './standinProtocol.js'
import type { SlotRole, SoakShape } from './faultPlan.js'
import { LoopbackProxy } from './LoopbackProxy.js'
import { ProcessSlot, type Incarnation, type SlotPlan } from './ProcessSlot.js'
import { COLD_DURATION_MS, dataCentreOf, MODEL, MODEL_SERVICE, PLAIN_SERVICE } from './soakSite.js'

const MILLISECONDS_PER_SECOND = 1000

/** How labels of processes end that have not started again. */
export const FIRST_INCARNATION = '#1'

/** All processes log, and entry hosts keep each request's story: a seed that failed must be explained from these files. */
const LOG_ENVIRONMENT = { ROARR_LOG: 'true', EELGRASSMUX_KEPT_STORIES: '1', EELGRASSMUX_LOG_LINES_PER_SECOND: '5000' }

/** What a run decides about its processes. */
export interface ClusterSettings {
  readonly shape: SoakShape
  /** For logs and data. */
  readonly folder: string
  /** How long an entry host may live after SIGTERM, in milliseconds. */
  readonly graceMs: number
  /** Control hosts acknowledge sites that they do not put: a break for the checks. */
  readonly isForgetful: boolean
  /** Endpoints that have started again are listed as cold for a while. */
  readonly hasColdReturns: boolean
  /** Hosts do not read what endpoints ask of them: a break for the checks. */
  readonly isDeaf: boolean
  /** Told of each rejection at an endpoint that asks for a pause. */
  onRejection (rejection: RejectionLine): void
  /** Told of each run at an endpoint. */
  onRun (run: RunLine): void
  /** Told of each process that started. */
  onStart (label: string): void
  /** Told of each process that ended; the code is null if a signal ended it. */
  onEnd (label: string, code: number | null): void
}

/** Starts and ends the processes. */
export class SoakCluster {
  readonly endpointList = new EndpointListServer()
  readonly controls: ProcessSlot[] = []
  readonly entries: ProcessSlot[] = []
  readonly endpoints: ProcessSlot[] = []
  readonly #controlProxies: LoopbackProxy[] = []
  readonly #endpointProxies: LoopbackProxy[] = []

  /** @param settings - shape and surroundings */
  constructor (private readonly settings: ClusterSettings) {}

  /** Starts all of them. */
  async start (): Promise<void> {
    const { shape } = this.settings
    const listAddress = await this.endpointList.listen()
    const control = await this.#openProxies(this.#controlProxies, shape.controls)
    const endpoint = await this.#openProxies(this.#endpointProxies, shape.plainEndpoints + shape.engines)
    this.endpoints.push(...endpoint.map((address, index) => this.#endpointSlot(index, address)))
    this.controls.push(...control.map((address, index) => this.#controlSlot(index, address, control, listAddress)))
    await Promise.all([...this.endpoints, ...this.controls].map(async slot => { await slot.start() }))
    this.entries.push(...Array.from({ length: shape.entries }, (_, index) => this.#entrySlot(index, control)))
    await Promise.all(this.entries.map(async slot => { await slot.start() }))
  }

  /** @returns the slots of a role */
  slots (role: SlotRole): readonly ProcessSlot[] {
    switch (role) {
      case 'entry': return this.entries
      case 'control': return this.controls
      case 'endpoint': return this.endpoints
    }
  }

  /** @returns the proxy before a process */
  proxy (role: 'control' | 'endpoint', index: number): LoopbackProxy {
    const proxy = (role === 'control' ? this.#controlProxies : this.#endpointProxies)[index]
    if (proxy === undefined) throw new Error(`no proxy before ${role} ${index}`)
    return proxy
  }

  /** Ends all links' faults and wakes all processes. */
  heal (): void {
    for (const proxy of [...this.#controlProxies, ...this.#endpointProxies]) proxy.setFault(undefined)
    for (const slot of this.#allSlots()) slot.current?.process.signal('SIGCONT')
  }

  /** Ends all processes and proxies. */
  async stop (): Promise<void> {
    await Promise.all(this.#allSlots().map(async slot => { await slot.close() }))
    for (const proxy of [...this.#controlProxies, ...this.#endpointProxies]) proxy.close()
    this.endpointList.close()
    // Streams of the logs have a turn to end.
    await sleep(0)
  }

  /** @returns path of the log of an incarnation */
  logFile (label: string): string {
    const slot = this.#allSlots().find(({ name }) => label.startsWith(`${name}#`))
    return slot?.logFile(label) ?? ''
  }

  /** @returns why a process could not be started again, if that happened */
  failure (): Error | undefined {
    return this.#allSlots().find(slot => slot.failure !== undefined)?.failure
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
      args: label => ['--id', label, ...isEngine ? ['--model', MODEL, '--weights-version', '1'] : []],
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
          isCold: this.settings.hasColdReturns && !incarnation.label.endsWith(FIRST_INCARNATION),
          models: isEngine ? [{ model: MODEL, version: 1 }] : []
        })
        setTimeout(() => { this.endpointList.markWarm(incarnation.label) }, COLD_DURATION_MS).unref()
      }
    })
  }

  #controlSlot (index: number, address: string, all: readonly string[], listAddress: string): ProcessSlot {
    const name = `control-${index}`
    return new ProcessSlot({
      name,
      ...this.#commonPlan('control'),
      args: () => [
        '--data-centre', dataCentreOf(index), '--data-folder', `${this.settings.folder}/${name}`, '--advertise', address, '--list', listAddress,
        '--bootstrap', 'true', '--join', all.join(','), '--minimum-voters', String(all.length), '--forgetful', String(this.settings.isForgetful)
      ],
      onStart: incarnation => { this.#attachProxy(this.proxy('control', index), incarnation, 'rpc') }
    })
  }

  #entrySlot (index: number, control: readonly string[]): ProcessSlot {
    return new ProcessSlot({
      name: `entry-${index}`,
      ...this.#commonPlan('entry'),
      // Its own loopback address tells it from the others while its port is free.
      args: () => ['--host', `127.0.1.${index + 1}`, '--data-centre', dataCentreOf(index), '--control', control.join(','), '--deaf', String(this.settings.isDeaf)],
      environment: { ...LOG_ENVIRONMENT, EELGRASSMUX_STOP_GRACE_SECONDS: String(this.settings.graceMs / MILLISECONDS_PER_SECOND) },
      onStart: incarnation => { this.settings.onStart(incarnation.label) }
    })
  }

  #commonPlan (program: string): Pick<SlotPlan, 'program' | 'logFolder' | 'environment' | 'onEnd'> {
    return {
      environment: LOG_ENVIRONMENT,
      program: new URL(`../${program}.js`, import.meta.url.replace('/src/lib/', '/dist/lib/')),
      logFolder: this.settings.folder,
      onEnd: (label, code) => { this.settings.onEnd(label, code) }
    }
  }

  #attachProxy (proxy: LoopbackProxy, { label, addresses }: Incarnation, served: string): void {
    proxy.target = Number(addresses[served]?.split(':')[1])
    this.settings.onStart(label)
  }

  #onEndpointLine (text: string): void {
    const line = endpointLineSchema.safeParse(JSON.parse(text))
    // The line that says where it listens is read elsewhere.
    if (!line.success) return
    if (line.data.event === 'run') this.settings.onRun(line.data)
    else if (line.data.event === 'rejected') this.settings.onRejection(line.data)
    else this.endpointList.setWeights(line.data.endpoint, MODEL, line.data.version)
  }
}
