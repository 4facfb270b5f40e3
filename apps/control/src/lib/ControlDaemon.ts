/** Assembles the tasks of a control host and runs them as a daemon. */
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { z } from 'zod'
import { EngineClient } from '@eelgrassmux/backends/EngineClient'
import { emptyEffects } from '@eelgrassmux/consensus/emptyEffects'
import { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { DEFAULT_RAFT_SETTINGS, type RaftSettings } from '@eelgrassmux/consensus/RaftSettings'
import type { Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { listenWhenFree } from '@eelgrassmux/daemon/listenWhenFree'
import type { DaemonProgram, RunningDaemon } from '@eelgrassmux/daemon/runDaemon'
import { describeReason, type StartWaits } from '@eelgrassmux/daemon/StartWaits'
import { addressListSetting, addressSetting, booleanSetting, commonSettingsShape, durationLimitSetting, integerSetting } from '@eelgrassmux/daemon/settings'
import { isRefusedBySystem } from '@eelgrassmux/durable/DataFolder'
import { StorageOpening } from '@eelgrassmux/durable/StorageOpening'
import { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { listenOnSamePort } from '@eelgrassmux/rpc/listenOnSamePort'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import { succeed } from '@eelgrassmux/schema/Result'
import type { ReplicatedService } from '@eelgrassmux/schema/site/siteSchema'
import { DEFAULT_STATE_SETTINGS, StateMachine } from '@eelgrassmux/state/StateMachine'
import { RejectedEntries } from '@eelgrassmux/telemetry/RejectedEntries'
import { reportSilentConnections } from '@eelgrassmux/telemetry/reportSilentConnections'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ControlServer } from './ControlServer.js'
import { EndpointListTask, type EndpointSource } from './endpoints/EndpointListTask.js'
import { HostTable } from './hosts/HostTable.js'
import { planShards } from './hosts/planShards.js'
import { LoadBoardTask, type EndpointProbe } from './load/LoadBoardTask.js'
import { OrderTask } from './orders/OrderTask.js'
import { GroupMonitor, MONITOR_INTERVAL_MS } from './raft/GroupMonitor.js'
import { leaveIfSurplus } from './raft/leaveGroup.js'
import { MembershipTask } from './raft/MembershipTask.js'
import { RaftSender } from './raft/RaftSender.js'
import { RaftTask } from './raft/RaftTask.js'
import { ConfiguredCrashDetector } from './quarantine/ConfiguredCrashDetector.js'
import { ListedCrashDetector } from './quarantine/CrashDetector.js'
import { QuarantineTask } from './quarantine/QuarantineTask.js'
import { RelayTask } from './relays/RelayTask.js'
import { RetryPoolTask } from './retries/RetryPoolTask.js'
import { RolloutTask, type RolloutBackend } from './rollout/RolloutTask.js'
import type { StoreSource } from './stores/StoreFollower.js'
import { StoreTask } from './stores/StoreTask.js'
import { StreamOriginTask } from './streams/StreamOriginTask.js'
import { SiteService } from './site/SiteService.js'
import { WaitingTask } from './waiting/WaitingTask.js'

const HOUR_MS = 60 * 60 * 1000

/** Settings of a control host. */
export const controlSettingsShape = {
  ...commonSettingsShape,
  port: integerSetting(0, 65535).default(0).describe('port for hosts, operators and other control hosts; 0 takes a free one'),
  advertise: addressSetting.optional().describe('address at which others reach this host, if it is not the one that it listens on'),
  dataFolder: z.string().min(1).describe('folder for all durable state of this host'),
  bootstrap: booleanSetting.default(false).describe('true at the first start of a new group only; with --join, the first of those addresses founds it'),
  join: addressListSetting.default([]).describe('control hosts of the group to join, separated by commas'),
  shards: integerSetting(1, 4096).default(8).describe('directory shards; the same on all control hosts'),
  freshnessMs: integerSetting(500, 60_000).default(3000).describe('how long hosts may act on a confirmed view, in milliseconds'),
  recordWindowHours: integerSetting(1, 24 * 365).default(24).describe('how long at-most-once records are kept, in hours'),
  minimumVoters: integerSetting(1, 9).optional().describe('voters that a new group must have before it takes its first command; twice the disks it may lose, and one; if set, silent voters above this number are removed'),
  heartbeatMs: integerSetting(10, 10_000).default(DEFAULT_RAFT_SETTINGS.heartbeatMs).describe('interval of the leader\'s messages, in milliseconds'),
  electionTimeoutMs: integerSetting(50, 60_000).default(DEFAULT_RAFT_SETTINGS.electionTimeoutMs).describe('silence of a leader after which another is elected, in milliseconds'),
  endpointListMs: integerSetting(50, 60_000).default(1000).describe('interval between readings of the platform\'s endpoint list while hosts watch it, in milliseconds'),
  retryRatio: z.coerce.number().min(0).max(1).default(0.1).describe('repeats for each request of a service, over all entry hosts; the same as on entry hosts'),
  retrySlack: z.coerce.number().min(0).max(100_000).default(20).describe('repeats on top, in any window of some seconds, over all entry hosts; the same as on entry hosts'),
  orderLeaseMs: z.coerce.number().min(100).max(60_000).default(3000).describe('time for which another host\'s last order to an engine may count, in milliseconds'),
  weightsRolloutMs: durationLimitSetting.describe('time after weights were named in which all engines should have loaded them, in milliseconds; without bound if empty')
}

const settingsSchema = z.object(controlSettingsShape)

/** Validated settings of a control host. */
export type ControlSettings = z.infer<typeof settingsSchema>

/** Platform-specific implementations that a control host is started with. */
export interface ControlPlatform {
  readonly endpoints: EndpointSource
  readonly engines: RolloutBackend
  readonly stores: StoreSource
  readonly probe: EndpointProbe
  /** Returns the current addresses of control hosts that may be members of the group. */
  contacts (): readonly string[]
  /**
   * Returns the first addresses that the platform named to this process; empty until then. Hosts agree on the founder only
   * by the contacts that all of them are given when they are started together.
   */
  firstContacts (): readonly string[]
  /** Starts the server for operators' calls on this platform; does not wait for a port that is taken. */
  openOperatorApi (sites: SiteService, telemetry: Telemetry): Promise<OperatorApi>
}

/** A running server for operators' calls. */
export interface OperatorApi {
  readonly address: string
  close (): Promise<void>
}

/** Interval between checks of the shard owners, in milliseconds. */
const SHARD_PLAN_INTERVAL_MS = 500

/** Interval between sweeps of expired records, in milliseconds. */
const EXPIRY_INTERVAL_MS = 60_000

/** Start time of this process on its monotonic clock, in milliseconds. */
const PROCESS_START_MS = 0

/** Maximum wait for a leadership transfer during a graceful shutdown, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 2000

/** The control host's program. */
export const controlProgram: DaemonProgram<ControlSettings> = {
  name: 'eelgrassmux-control',
  description: 'Agrees on configuration, members, shard owners, orders and at-most-once records',
  settings: settingsSchema,
  start: async (settings, telemetry, fail, waits) => await startControl(settings, telemetry, fail, waits)
}

/**
 * Starts a control host.
 *
 * @param settings - validated settings
 * @param telemetry - log and metrics
 * @param fail - called when the process must stop
 * @param waits - waits for a disk that refuses operations, for ports that are taken and for contacts
 * @param platform - platform-specific implementations; without them, no endpoint list, stores or rollouts are served
 */
export async function startControl (
  settings: ControlSettings, telemetry: Telemetry, fail: (error: unknown) => void, waits: StartWaits, platform?: ControlPlatform
): Promise<RunningDaemon> {
  const opening = new StorageOpening(join(settings.dataFolder, 'control'))
  const { opened: { storage, replicaId, persisted }, setAside, isDamagedKept, foreignEntries } = await waits.until(`data folder ${settings.dataFolder}`, async () => await opening.attempt(), isRefusedBySystem)
  if (foreignEntries.length > 0) telemetry.logFault('storage-foreign-entries', { names: foreignEntries.join(' ') })
  if (setAside !== undefined) telemetry.logFault('storage-set-aside', { error: JSON.stringify(setAside.error), path: setAside.path, replica: replicaId })
  storage.onRefusedWrite = error => { telemetry.logFault('disk-refuses-writes', { isRefused: error !== undefined, reason: error === undefined ? '' : describeReason(error) }) }
  storage.onDiskFull = isFull => { telemetry.logFault('disk-full', { isFull }) }
  const server = new RpcServer()
  const rpc = new RpcClient({ onSilentConnection: reportSilentConnections(telemetry) })
  const messageFailures = telemetry.labelledCounter('raft_message_failures_total', 'Protocol messages that were not delivered')
  const peers = new DatagramClient()
  await listenWhenFree(waits, `address ${settings.host}`, async () => { await peers.bind(settings.host) })
  const sender = new RaftSender(peers, rpc, reason => { messageFailures.count(reason) })
  const orderOutcomes = telemetry.labelledCounter('orders_total', 'Orders to endpoints by outcome', 'outcome')

  const addressesById = new Map<string, string>()
  const self: Replica = { id: replicaId, address: advertisedAddress(settings, settings.port) }
  // Any promise to a leader that an earlier process of this host made predates the start of this process.
  const core = new RaftCore(self, persisted, raftSettings(settings), Math.random, PROCESS_START_MS)
  const state = new StateMachine({ ...DEFAULT_STATE_SETTINGS, recordWindowMs: settings.recordWindowHours * HOUR_MS })
  const raft = new RaftTask(core, storage, state, {
    send: (to, message, onOutcome) => {
      const address = to.address === '' ? addressesById.get(to.id) : to.address
      if (address === undefined) onOutcome(false)
      else sender.send(address, { from: self, to: to.id, message }, onOutcome)
    },
    applied: () => {
      controlServer.notify()
      stores?.siteChanged()
      streamOrigins.siteChanged()
    },
    roleChanged: (role, term) => { telemetry.logStateChange('role-changed', { role, term }) },
    commandDecided: ({ isTaken, term, formation }) => {
      const { membershipIndex, voters, needed } = formation
      telemetry.logStateChange(isTaken ? 'commands-taken' : 'commands-held-back', { term, membershipIndex, voters, needed })
    },
    lostWhileClosing: error => { telemetry.logFault('write-lost-while-closing', { message: String(error) }) },
    fail
  }, Date.now)
  const groupMonitor = new GroupMonitor(core, telemetry)
  const hosts = new HostTable(settings.freshnessMs)
  const orders = new OrderTask(raft, address => new EngineClient(address), outcome => { orderOutcomes.count(outcome) })
  const service = new SiteService(raft, rpc)
  const rejected = new RejectedEntries(telemetry)
  const endpoints = platform === undefined ? undefined : new EndpointListTask(platform.endpoints, settings.endpointListMs, () => state.sites.put?.site, rejected, telemetry)
  const rollout = platform === undefined || endpoints === undefined
    ? undefined
    : new RolloutTask(raft, endpoints, platform.engines, settings.host, settings.orderLeaseMs, settings.weightsRolloutMs, telemetry)
  const stores = platform === undefined ? undefined : new StoreTask(raft, platform.stores, () => endpoints?.endpointsOfSite ?? [], rejected, telemetry)
  const streamOrigins = new StreamOriginTask({
    site: () => state.sites.put?.site,
    endpoints: () => endpoints?.endpointsOfSite ?? [],
    listAgeMs: now => endpoints?.readAgeMs(now) ?? -1,
    followedMs: now => endpoints?.followedMs(now) ?? 0,
    telemetry
  })
  endpoints?.changes.on('change', () => { streamOrigins.listChanged() })
  const sites = { service, ...(endpoints === undefined ? {} : { endpoints }), ...(stores === undefined ? {} : { stores }) }
  const controlServer = new ControlServer(raft, hosts, orders, sites, replica => {
    addressesById.set(replica.id, replica.address)
    groupMonitor.observeSender(replica)
  })
  controlServer.register(server)
  const endpointPorts = {
    probe: platform?.probe,
    endpoints: () => endpoints?.endpointsOfSite ?? [],
    service: (name: string) => state.sites.put?.site.services.find(service => service.type === 'replicated' && service.name === name) as ReplicatedService | undefined,
    telemetry
  }
  const quarantine = new QuarantineTask({
    isLeader: () => core.role === 'leader',
    register: state.quarantine,
    propose: async command => await raft.propose(command),
    detector: platform === undefined ? new ConfiguredCrashDetector(() => state.configuration) : new ListedCrashDetector(endpointPorts),
    telemetry
  })
  quarantine.register(server)
  new RelayTask({ isLeader: () => core.role === 'leader', entryAddresses: now => hosts.acceptingEntries(now), telemetry }).register(server)

  const datagramOutcomes = telemetry.labelledCounter('datagrams_total', 'Datagrams of hosts by what they ask, or why they were not taken', 'outcome')
  const datagrams = new DatagramServer(outcome => { datagramOutcomes.count(outcome) })
  controlServer.registerDatagrams(datagrams)
  const loads = new LoadBoardTask({
    ...endpointPorts,
    followEndpoints: isFollowing => {
      if (isFollowing) endpoints?.addWatcher()
      else endpoints?.removeWatcher()
    }
  })
  loads.register(datagrams)
  new RetryPoolTask(core, { ratio: settings.retryRatio, slack: settings.retrySlack }, telemetry).register(datagrams)
  streamOrigins.register(datagrams)
  const waiting = new WaitingTask({
    isLeader: () => core.role === 'leader',
    endpoints: () => ({ site: state.sites.put?.site, endpoints: endpointPorts.endpoints(), evacuated: state.evacuations.evacuated }),
    loads,
    telemetry
  })
  waiting.register(datagrams)
  const port = await listenWhenFree(waits, `port for hosts ${settings.host}:${settings.port}`, async () => await listenOnSamePort(server, datagrams, settings.host, settings.port))
  self.address = advertisedAddress(settings, port)
  registerGauges(telemetry, raft, hosts, groupMonitor)
  orders.start()
  rollout?.start()
  const mayFound = !isDamagedKept && settings.bootstrap && isEmpty(core)
  if (mayFound && isFounder(self.address, platform === undefined ? settings.join : await waitForContacts(waits, platform))) {
    let isFounded = false
    await raft.change((group, now) => {
      // A group may have sent a term or entries during the wait.
      isFounded = isEmpty(group)
      return succeed(isFounded ? group.bootstrap(now) : emptyEffects())
    })
    if (isFounded) telemetry.logStateChange('group-founded', { replica: replicaId, address: self.address })
  }
  const contacts = (): readonly string[] => platform?.contacts() ?? settings.join
  const membershipTask = new MembershipTask(raft, rpc, contacts, settings.minimumVoters, telemetry)
  membershipTask.run().catch(fail)
  const operators = await platform?.openOperatorApi(service, telemetry)
  const startedAt = performance.now()
  const shardTimer = setInterval(() => { void assignShards(raft, hosts, settings, startedAt) }, SHARD_PLAN_INTERVAL_MS)
  const monitorTimer = setInterval(() => { groupMonitor.check(performance.now()) }, MONITOR_INTERVAL_MS)
  const expireTimer = setInterval(() => { if (core.role === 'leader') void raft.propose({ kind: 'expire' }) }, EXPIRY_INTERVAL_MS)

  return {
    addresses: { rpc: `${settings.host}:${port}`, replicaId, ...(operators === undefined ? {} : { operators: operators.address }) },
    isReady: () => core.leader !== undefined,
    drain: async () => {
      raft.transfer()
      const deadline = performance.now() + TRANSFER_TIMEOUT_MS
      while (core.role === 'leader' && core.membership.voters.length > 1 && performance.now() < deadline) await sleep(20)
      membershipTask.stop()
      if (await leaveIfSurplus(rpc, core, settings.minimumVoters)) telemetry.logStateChange('left-group', { replica: replicaId })
    },
    close: async () => {
      clearInterval(shardTimer)
      clearInterval(expireTimer)
      clearInterval(monitorTimer)
      membershipTask.stop()
      datagrams.close()
      loads.stop()
      waiting.stop()
      quarantine.stop()
      rollout?.stop()
      endpoints?.stop()
      stores?.stop()
      await operators?.close()
      await orders.stop()
      // The batch in progress still answers its callers and sends messages to its peers.
      await raft.close()
      server.close()
      rpc.close()
      peers.close()
    }
  }
}

/** Returns the address at which others reach this host. */
function advertisedAddress ({ host, advertise }: ControlSettings, port: number): string {
  return advertise ?? `${host}:${port}`
}

/** Only a replica that no group has given a term or entries may found one. */
function isEmpty (core: RaftCore): boolean {
  return core.lastIndex === 0 && core.term === 0
}

/** The host with the first address in sort order founds the group, so that all hosts choose the same one; a host that is given none founds its own. */
function isFounder (address: string, contacts: readonly string[]): boolean {
  return contacts.length === 0 || [...contacts].sort()[0] === address
}

/** Returns the first contacts that the platform names. Without any, each control host would found a group of its own. */
async function waitForContacts (waits: StartWaits, platform: ControlPlatform): Promise<readonly string[]> {
  return await waits.until('contacts, the first of which founds the group', async () => {
    const named = platform.firstContacts()
    if (named.length === 0) throw new Error('the platform has named none')
    return named
  }, () => true)
}

function raftSettings ({ heartbeatMs, electionTimeoutMs, minimumVoters }: ControlSettings): RaftSettings {
  const { leaseMs, electionTimeoutMs: defaultTimeoutMs, minimumVoters: defaultVoters } = DEFAULT_RAFT_SETTINGS
  return { ...DEFAULT_RAFT_SETTINGS, heartbeatMs, electionTimeoutMs, minimumVoters: minimumVoters ?? defaultVoters, leaseMs: electionTimeoutMs * leaseMs / defaultTimeoutMs }
}

async function assignShards (raft: RaftTask, hosts: HostTable, settings: ControlSettings, startedAt: number): Promise<void> {
  const now = performance.now()
  const { core, state } = raft
  if (!core.canRead(now)) return
  // After a restart, a directory that has not reported yet is not assumed to be down.
  const areReportsComplete = now - startedAt > settings.freshnessMs
  if (!areReportsComplete && state.shards.length > 0) return
  const owners = planShards(state.shards, settings.shards, hosts.liveDirectories(now))
  if (owners !== undefined) await raft.propose({ kind: 'assign-shards', owners })
}

function registerGauges (telemetry: Telemetry, raft: RaftTask, hosts: HostTable, groupMonitor: GroupMonitor): void {
  telemetry.gauge('raft_term', 'Present term', () => raft.core.term)
  telemetry.gauge('raft_is_leader', '1 on the leader', () => raft.core.role === 'leader' ? 1 : 0)
  telemetry.gauge('raft_leaderless_seconds', 'Time for which this replica has known no leader', () => groupMonitor.leaderlessMs(performance.now()) / 1000)
  telemetry.gauge('raft_peers_behind', 'Peers whose log lags behind that of this leader', () => groupMonitor.peersBehind)
  telemetry.gauge('raft_commit_index', 'Last committed log index', () => raft.core.commitIndex)
  telemetry.gauge('raft_syncs', 'Batches synced to the disk', () => raft.syncs)
  telemetry.gauge('view_revision', 'Newest applied view', () => raft.state.viewRevision)
  telemetry.gauge('configuration_revision', 'Newest applied configuration', () => raft.state.revision)
  telemetry.gauge('at_most_once_records', 'At-most-once records held', () => raft.state.recordCount)
  telemetry.gauge('live_entries', 'Entry hosts heard from lately', () => hosts.liveEntries(performance.now()))
}
