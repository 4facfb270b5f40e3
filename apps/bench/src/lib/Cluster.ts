/** Runs a whole system on loopback for scripts and tests: control hosts, directories, entry hosts and stand-ins. */
import { createHash } from 'node:crypto'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { stringify } from 'yaml'
import { request } from 'undici'
import type { ConfigurationDocument, Profile } from '@eelgrassmux/schema/configuration'
import { ManagedProcess, programPath, type PrintedAddresses } from './ManagedProcess.js'

/** A process of the cluster with its addresses. */
export interface ClusterMember {
  process: ManagedProcess
  addresses: PrintedAddresses
  readonly args: readonly string[]
}

/** Number of processes of each kind, and the configuration of the cluster. */
export interface ClusterPlan {
  readonly dataCentres: readonly string[]
  readonly controls: number
  readonly directories: number
  readonly entries: number
  readonly engines: number
  readonly stores: number
  readonly services: number
  readonly customers: readonly CustomerPlan[]
  readonly profiles: readonly Profile[]
  /** Profile of the model service and the plain service. */
  readonly modelProfile: string
  readonly engineArgs?: readonly string[]
  readonly storeArgs?: readonly string[]
  readonly storeLinkBytesPerSecond?: number
  readonly entryArgs?: readonly string[]
  readonly directoryArgs?: readonly string[]
}

/** A customer of the cluster. */
export interface CustomerPlan {
  readonly name: string
  readonly credential: string
  readonly share: number
}

/** Exit code and output of the operators' command line. */
export interface CommandOutput {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

/** Default timeout for a condition, in milliseconds. */
const CONDITION_TIMEOUT_MS = 20_000

/** Starts, drives and stops a cluster. */
export class Cluster {
  readonly controls: ClusterMember[] = []
  readonly directories: ClusterMember[] = []
  readonly entries: ClusterMember[] = []
  readonly engines: ClusterMember[] = []
  readonly stores: ClusterMember[] = []
  readonly services: ClusterMember[] = []
  weights: ClusterMember | undefined
  members: ClusterMember | undefined

  private constructor (readonly plan: ClusterPlan, readonly folder: string) {}

  /**
   * Starts all processes and applies the configuration.
   *
   * @param plan - plan of the cluster
   * @returns the running cluster
   */
  static async start (plan: ClusterPlan): Promise<Cluster> {
    const cluster = new Cluster(plan, await mkdtemp(join(tmpdir(), 'eelgrassmux-')))
    try {
      await cluster.#startBackends()
      await cluster.#startControls()
      const control = ['--control', cluster.controlAddresses]
      cluster.directories.push(...await startAll(plan.directories, async index =>
        await start('directory', ['--data-centre', cluster.#dataCentre(index), ...control, ...plan.directoryArgs ?? []])))
      await cluster.applyAll()
      cluster.entries.push(...await startAll(plan.entries, async index => await cluster.#startEntry(index)))
      await cluster.waitUntilReady()
    } catch (error) {
      await cluster.stop()
      throw error
    }
    return cluster
  }

  get controlAddresses (): string {
    return this.controls.map(member => member.addresses.rpc).join(',')
  }

  /**
   * @param index - index of an entry host
   * @returns the URL for its callers
   */
  entryUrl (index: number): string {
    return `http://${this.entries[index]?.addresses.http ?? ''}`
  }

  async #startEntry (index: number): Promise<ClusterMember> {
    const args = [
      '--data-centre', this.#dataCentre(index), '--control', this.controlAddresses,
      '--membership', this.members?.addresses.http ?? '', '--balancer-lag-ms', '200', ...this.plan.entryArgs ?? []
    ]
    return await start('entry', args)
  }

  /** @returns all configuration documents of the plan, with the addresses of the running processes */
  documents (): ConfigurationDocument[] {
    const { plan } = this
    return [
      ...plan.profiles,
      { kind: 'model', name: 'base', version: 'v1', servingFloor: Math.max(0, plan.engines - 2) },
      { kind: 'service', type: 'model', name: 'summaries', model: 'base', profile: plan.modelProfile },
      { kind: 'service', type: 'plain', name: 'accounts', profile: plan.modelProfile, atMostOnce: true },
      ...plan.customers.map(({ name, credential, share }): ConfigurationDocument => ({
        kind: 'customer',
        name,
        share,
        credentialSha256: createHash('sha256').update(credential).digest('hex'),
        cacheSecret: createHash('sha256').update(`secret of ${name}`).digest('hex')
      })),
      ...this.engines.map(({ addresses }, index): ConfigurationDocument => ({
        kind: 'endpoint',
        type: 'engine',
        name: `engine-${index}`,
        address: addresses.http ?? '',
        dataCentre: this.#dataCentre(index),
        model: 'base',
        honoursFencing: true
      })),
      ...this.services.map(({ addresses }, index): ConfigurationDocument => ({
        kind: 'endpoint',
        type: 'plain',
        name: `accounts-${index}`,
        address: addresses.http ?? '',
        dataCentre: this.#dataCentre(index),
        service: 'accounts'
      })),
      ...this.stores.map(({ addresses }, index): ConfigurationDocument => ({
        kind: 'store',
        name: `store-${index}`,
        address: addresses.http ?? '',
        dataCentre: this.#dataCentre(index),
        linkBytesPerSecond: plan.storeLinkBytesPerSecond ?? 100 * 1024 * 1024
      }))
    ]
  }

  /**
   * Applies documents through the operators' command line and waits until they are in force.
   *
   * @param documents - documents to apply, by default all documents of the plan
   * @returns the output of the command
   */
  async applyAll (documents: readonly ConfigurationDocument[] = this.documents()): Promise<CommandOutput> {
    const file = join(this.folder, `configuration-${performance.now()}.yaml`)
    await writeFile(file, documents.map(document => stringify(document)).join('---\n'))
    const output = await this.command(['apply', '--wait', file])
    if (output.code !== 0) throw new Error(`apply failed: ${output.stderr}`)
    return output
  }

  /**
   * Runs the operators' command line.
   *
   * @param args - command and options
   * @returns the output of the command
   */
  async command (args: readonly string[]): Promise<CommandOutput> {
    const child = spawn(process.execPath, [programPath('eelgrassmux'), ...args], {
      env: { ...process.env, EELGRASSMUX_CONTROL: this.controlAddresses }, stdio: ['ignore', 'pipe', 'pipe']
    })
    let stdout = ''
    let stderr = ''
    child.stdout.on('data', (bytes: Buffer) => { stdout += bytes.toString() })
    child.stderr.on('data', (bytes: Buffer) => { stderr += bytes.toString() })
    const [code] = await once(child, 'close') as [number]
    return { code, stdout, stderr }
  }

  /** Waits until all entry hosts and directories are ready and all shards have owners. */
  async waitUntilReady (): Promise<void> {
    for (const member of [...this.directories, ...this.entries]) {
      await waitUntil(async () => (await request(`http://${member.addresses.admin}/readyz`)).statusCode === 200)
    }
    if (this.directories.length === 0) return
    await waitUntil(async () => {
      const owned = await Promise.all(this.directories.map(async member => await this.metric(member, 'eelgrassmux_directory_shards')))
      return owned.reduce((sum, shards) => sum + shards, 0) >= SHARDS
    })
  }

  /**
   * Reads a metric of a member, summed over its labels.
   *
   * @param member - process to read from
   * @param name - metric name
   * @returns the sum; 0 if the metric does not exist
   */
  async metric (member: ClusterMember, name: string): Promise<number> {
    const response = await request(`http://${member.addresses.admin}/metrics`)
    const lines = (await response.body.text()).split('\n')
    const matching = lines.filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    return matching.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
  }

  /**
   * Reads the product's counters of several members, summed for each label value.
   *
   * @param members - processes to read from
   * @returns counts by metric and label
   */
  async counters (members: readonly ClusterMember[]): Promise<Map<string, number>> {
    const totals = new Map<string, number>()
    for (const member of members) {
      const text = await (await request(`http://${member.addresses.admin}/metrics`)).body.text()
      for (const [, name, label, value] of text.matchAll(/^eelgrassmux_(\w+_total)\{\w+="([^"]+)",program="[^"]+"\} (\d+)/gm)) {
        const key = `${name ?? ''} ${label ?? ''}`
        totals.set(key, (totals.get(key) ?? 0) + Number(value))
      }
    }
    return totals
  }

  /**
   * Restarts a member with the same addresses.
   *
   * @param member - stopped member
   * @param extraArgs - additional arguments, used for stand-ins only
   */
  async restart (member: ClusterMember, extraArgs: readonly string[] = []): Promise<void> {
    const portFlags = Object.entries({ rpc: '--port', http: '--port', peer: '--peer-port', admin: '--admin-port' })
      .flatMap(([name, flag]) => member.addresses[name] === undefined ? [] : [flag, member.addresses[name].split(':')[1] ?? '0'])
    const started = await ManagedProcess.start(member.process.program, [...member.args, ...portFlags, ...(member.process.program === 'standin' ? extraArgs : [])])
    member.process = started.process
    member.addresses = started.addresses
  }

  /** Kills all processes and removes the folder of the cluster. */
  async stop (): Promise<void> {
    const daemons = [...this.entries, ...this.directories, ...this.controls]
    const standins = [...this.engines, ...this.stores, ...this.services, this.weights, this.members]
    for (const member of [...daemons, ...standins]) await member?.process.kill()
    await rm(this.folder, { recursive: true, force: true })
  }

  async #startBackends (): Promise<void> {
    const { plan } = this
    this.weights = await start('standin', ['weights', '--load-ms', '300'])
    this.members = await start('standin', ['members', '--lag-ms', '500'])
    const engineArgs = ['engine', '--weight-store', this.weights.addresses.http ?? '', ...plan.engineArgs ?? []]
    this.engines.push(...await startAll(plan.engines, async () => await start('standin', engineArgs)))
    const link = String(plan.storeLinkBytesPerSecond ?? 100 * 1024 * 1024)
    const storeArgs = ['store', '--link-bytes-per-second', link, ...plan.storeArgs ?? []]
    this.stores.push(...await startAll(plan.stores, async () => await start('standin', storeArgs)))
    this.services.push(...await startAll(plan.services, async index => await start('standin', ['service', '--name', `accounts-${index}`])))
  }

  async #startControls (): Promise<void> {
    for (let index = 0; index < this.plan.controls; index += 1) await this.addControl(index)
    const wanted = this.plan.controls
    await waitUntil(async () => (await this.command(['members'])).stdout.split('\n').filter(line => line.startsWith('voter')).length === wanted)
  }

  /**
   * Starts another control host. The first one founds the group; the others join it.
   *
   * @param index - index that selects the data centre and the data folder
   */
  async addControl (index: number): Promise<void> {
    const founding = index === 0 ? ['--bootstrap', 'true'] : ['--join', this.controlAddresses]
    const args = ['--data-centre', this.#dataCentre(index), '--data-folder', join(this.folder, `control-${index}`), '--shards', String(SHARDS), ...founding]
    this.controls.push(await start('control', args))
  }

  #dataCentre (index: number): string {
    return this.plan.dataCentres[index % this.plan.dataCentres.length] ?? ''
  }
}

/** Number of directory shards in each cluster. */
const SHARDS = 8

async function start (program: ManagedProcess['program'], args: readonly string[]): Promise<ClusterMember> {
  return { ...await ManagedProcess.start(program, args), args }
}

async function startAll<Item> (count: number, make: (index: number) => Promise<Item>): Promise<Item[]> {
  return await Promise.all(Array.from({ length: count }, async (_, index) => await make(index)))
}

/**
 * Waits until a condition holds.
 *
 * @param condition - polled repeatedly; a rejection counts as false
 * @param timeoutMs - timeout in milliseconds
 */
export async function waitUntil (condition: () => Promise<boolean>, timeoutMs = CONDITION_TIMEOUT_MS): Promise<void> {
  const deadline = performance.now() + timeoutMs
  while (performance.now() < deadline) {
    if (await condition().catch(() => false)) return
    await sleep(50)
  }
  throw new Error(`the condition did not hold within ${timeoutMs} ms: ${condition.toString().slice(0, 200)}`)
}
