/** Measures the slopes that the calculations in docs/CAPACITY.md use, each at three or more sizes and with its fit. */
import { setTimeout as sleep } from 'node:timers/promises'
import { randomUUID } from 'node:crypto'
import { DEFAULT_SHARD_SETTINGS, DirectoryShard } from '@eelgrassmux/cache/DirectoryShard'
import { ResidencyIndex } from '@eelgrassmux/cache/ResidencyIndex'
import { streamCompletion } from '@eelgrassmux/load/completionStream'
import { propose, reportStatus, type StatusResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import { lookupBlocks } from '@eelgrassmux/rpc/methods/directoryMethods'
import { notifyDispatches } from '@eelgrassmux/rpc/methods/entryMethods'
import { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { encodeMessage } from '@eelgrassmux/rpc/RpcMethod'
import { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { ConfigurationDocument } from '@eelgrassmux/schema/configuration'
import { StateMachine } from '@eelgrassmux/state/StateMachine'
import { Cluster, type ClusterMember } from '../Cluster.js'
import { TMTS_PROFILE } from '../profiles.js'
import { findLeader, createClaim } from './measureControl.js'
import type { Point } from './fit.js'
import { measureHeap } from './measureHeap.js'
import { measureQuarantineSlopes } from './measureQuarantineSlopes.js'
import { slopeReport, type SlopeReporter } from './slopeReport.js'

/** Duration of each measurement of processor time, in milliseconds. */
const WINDOW_MS = 4000

const CALL_TIMEOUT_MS = 5000

/**
 * Measures all slopes.
 *
 * @param print - prints a line of the report
 */
export async function measureSlopes (print: (line: string) => void): Promise<void> {
  const report = slopeReport(print)
  report('memory of a customer on an entry host', 'bytes', measureHeap([5000, 15_000, 45_000], buildCustomers))
  report('memory of a stored object in a directory', 'bytes', measureHeap([5000, 20_000, 50_000], buildStoredObjects))
  report('memory of a resident block in a directory', 'bytes', measureHeap([20_000, 100_000, 200_000], buildResidentBlocks))
  report('memory of an at-most-once record on a control host', 'bytes', measureHeap([5000, 20_000, 50_000], buildRecords))
  for (const line of describeMessageSizes()) print(line)
  measureQuarantineSlopes(print)
  await measureProcessorTime(report)
}

// --- Memory ---

function buildCustomers (size: number): object {
  const documents = Array.from({ length: size }, (_, index): ConfigurationDocument => ({
    kind: 'customer', name: `customer-${index}`, credentialSha256: index.toString(16).padStart(64, '0'), cacheSecret: `secret of customer ${index}`, share: 1
  }))
  return { documents: new Map(documents.map(document => [`customer/${document.name}`, document])), index: new ConfigurationIndex(1, { documents }) }
}

function buildStoredObjects (size: number): object {
  const shard = new DirectoryShard(0, 1, DEFAULT_SHARD_SETTINGS, 0)
  for (let object = 0; object < size; object += 1) {
    const keys = Array.from({ length: 16 }, (_, block) => `${object}-${block}`.padStart(32, '0'))
    shard.adopt({ name: `s0-e1-n${object}`, store: 'store-0', customer: 'ward', keys, bytes: 1, sha256: 'f'.repeat(64), tier: 'memory', tokens: 1024, firstBlock: 0 }, Number.MAX_SAFE_INTEGER)
  }
  return { shard }
}

function buildResidentBlocks (size: number): object {
  const index = new ResidencyIndex()
  index.reset('engine-0', Array.from({ length: size }, (_, block) => `${block}`.padStart(32, '0')), 1)
  return { index }
}

function buildRecords (size: number): object {
  const state = new StateMachine()
  for (let record = 0; record < size; record += 1) {
    const claim = createClaim()
    if (claim.kind !== 'claim') continue
    state.apply({ stampedAt: record, command: claim })
    const answer = { status: 200, contentType: 'application/json', body: new Uint8Array(120) }
    state.apply({ stampedAt: record, command: { kind: 'complete', record: claim.record, claimId: claim.claimId, answer } })
  }
  return { state }
}

// --- Messages ---

function describeMessageSizes (): string[] {
  const host = '10.0.0.1:7400'
  const status = { host, role: 'entry', address: host, dataCentre: 'round-rock-hall', viewRevision: 123_456, accepting: true, membershipIndex: 9, wantsPeers: false }
  const voters = [0, 1, 2, 3, 4].map(() => ({ id: randomUUID(), address: host }))
  const answer: StatusResponse = {
    replicaId: randomUUID(),
    membership: { voters, learners: [] },
    membershipIndex: 9,
    newestView: 123_456,
    appliedView: 123_456,
    leader: '',
    liveEntries: 340,
    entryPeers: [],
    watched: { incarnation: randomUUID(), endpointList: 12_345, listAgeMs: 123.4, storedParts: 12_345, storeClockMs: 1e12 }
  }
  const change = {
    kind: 'changes',
    fromViewRevision: 123_455,
    viewRevision: 123_456,
    revision: 120_000,
    upserts: [TMTS_PROFILE],
    removes: [],
    shards: Array.from({ length: 340 }, (_, epoch) => ({ owner: host, epoch }))
  }
  const notice = { dispatches: [{ engine: 'engine-640', tokens: 2048, ageMs: 3.25 }] }
  const lookup = { shard: 1, epoch: 4, keys: Array.from({ length: 40 }, () => 'f'.repeat(32)) }
  return Object.entries({
    'status report': status, 'status answer with 5 voters': answer, 'change of one profile with 340 shards': change, 'notice of one dispatch': notice, 'look-up of 40 blocks': lookup
  }).map(([name, message]) => `size of a ${name}: ${encodeMessage(message).length} bytes`)
}

// --- Processor time ---

async function measureProcessorTime (report: SlopeReporter): Promise<void> {
  const cluster = await Cluster.start({
    dataCentres: ['hall-north', 'hall-central', 'hall-south'],
    controls: 3,
    directories: 1,
    entries: 1,
    engines: 2,
    stores: 1,
    services: 0,
    customers: [{ name: 'ward', credential: 'ward', share: 1 }],
    profiles: [TMTS_PROFILE],
    modelProfile: 'tmts',
    engineArgs: ['--max-running', '200', '--decode-ms', '20']
  })
  const rpc = new RpcClient()
  const datagrams = new DatagramClient()
  await datagrams.bind('127.0.0.1')
  try {
    const entry = firstMember(cluster.entries)
    const directory = firstMember(cluster.directories)
    const leader = await findLeader(cluster)
    const rates = [100, 300, 600]
    const status = { host: 'slope', role: 'directory' as const, address: '127.0.0.1:1', dataCentre: 'hall-north', viewRevision: 1, accepting: false, membershipIndex: -1, wantsPeers: false }
    report('processor time of a status report on a control host', 'seconds', await processorTime(cluster, leader, rates, async () => {
      await new Promise<void>(resolve => { datagrams.ask(leader.addresses.rpc ?? '', reportStatus, status, () => { resolve() }) })
    }))
    report('processor time of a commit on the leader', 'seconds', await processorTime(cluster, leader, rates, async () => {
      await rpc.call(leader.addresses.rpc ?? '', propose, { command: createClaim() }, CALL_TIMEOUT_MS)
    }))
    const keys = Array.from({ length: 40 }, (_, block) => `${block}`.padStart(32, '0'))
    report('processor time of a look-up in a directory', 'seconds', await processorTime(cluster, directory, rates, async () => {
      await rpc.call(directory.addresses.rpc ?? '', lookupBlocks, { shard: 0, epoch: 1, keys }, CALL_TIMEOUT_MS)
    }))
    report('processor time of a dispatch notice on an entry host', 'seconds', await processorTime(cluster, entry, rates, async () => {
      await rpc.call(entry.addresses.peer ?? '', notifyDispatches, { dispatches: [{ engine: 'engine-0', tokens: 0, ageMs: 1 }] }, CALL_TIMEOUT_MS)
    }))
    report('processor time of a token on an entry host', 'seconds', await tokenProcessorTime(cluster, entry))
    report('processor time of a request of one token on an entry host', 'seconds', await processorTime(cluster, entry, [50, 100, 200], async () => {
      await streamCompletion({ url: cluster.entryUrl(0), credential: 'ward', service: 'summaries', prompt: 'x'.repeat(2000), maxTokens: 1 })
    }))
  } finally {
    rpc.close()
    datagrams.close()
    await cluster.stop()
  }
}

function firstMember (members: readonly ClusterMember[]): ClusterMember {
  const member = members[0]
  if (member === undefined) throw new Error('the cluster has no member of this kind')
  return member
}

/** Measures the processor seconds used per second at several call rates. */
async function processorTime (cluster: Cluster, member: ClusterMember, rates: readonly number[], call: () => Promise<void>): Promise<Point[]> {
  const points: Point[] = []
  for (const rate of rates) {
    const before = await cluster.metric(member, 'process_cpu_seconds_total')
    const startedAt = performance.now()
    const calls: Array<Promise<void>> = []
    for (let count = 0; count < rate * WINDOW_MS / 1000; count += 1) {
      const wait = startedAt + count * 1000 / rate - performance.now()
      if (wait > 1) await sleep(wait)
      calls.push(call())
    }
    await Promise.all(calls)
    const seconds = (performance.now() - startedAt) / 1000
    points.push({ size: calls.length / seconds, value: (await cluster.metric(member, 'process_cpu_seconds_total') - before) / seconds })
  }
  return points
}

async function tokenProcessorTime (cluster: Cluster, entry: ClusterMember): Promise<Point[]> {
  const points: Point[] = []
  for (const streams of [20, 60, 120]) {
    const before = await cluster.metric(entry, 'process_cpu_seconds_total')
    const startedAt = performance.now()
    const answers = await Promise.all(Array.from({ length: streams }, async () =>
      await streamCompletion({ url: cluster.entryUrl(0), credential: 'ward', service: 'summaries', prompt: 'tag this leg', maxTokens: 200 })))
    const seconds = (performance.now() - startedAt) / 1000
    const total = answers.reduce((sum, answer) => sum + answer.tokens, 0)
    points.push({ size: total / seconds, value: (await cluster.metric(entry, 'process_cpu_seconds_total') - before) / seconds })
  }
  return points
}
