/** Measures control hosts: commits, time without a leader, propagation of changes and cost of watchers. */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { listHosts, propose, watchView } from '@eelgrassmux/rpc/methods/controlMethods'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Command } from '@eelgrassmux/state/commands'
import { Cluster, waitUntil, type ClusterMember } from '../Cluster.js'
import { TMTS_PROFILE } from '../profiles.js'
import { median, percentile } from './fit.js'

const COMMIT_WINDOW_MS = 3000
const ELECTIONS = 20
const CHANGES = 20
const WATCHERS = 100
const WATCH_WINDOW_MS = 4000

/** Timeout of calls, in milliseconds. */
const CALL_TIMEOUT_MS = 5000

/**
 * Measures a cluster of three control hosts and eight entry hosts.
 *
 * @param print - prints a line of the report
 */
export async function measureControl (print: (line: string) => void): Promise<void> {
  const cluster = await Cluster.start({
    dataCentres: ['hall-north', 'hall-central', 'hall-south'],
    controls: 3,
    directories: 1,
    entries: 8,
    engines: 1,
    stores: 1,
    services: 0,
    customers: [{ name: 'ward', credential: 'ward', share: 1 }],
    profiles: [TMTS_PROFILE],
    modelProfile: 'tmts'
  })
  const rpc = new RpcClient()
  try {
    for (const callers of [1, 16, 64]) print(await measureCommits(cluster, rpc, callers))
    print(await measurePropagation(cluster, rpc))
    for (const line of await measureWatchers(cluster, rpc)) print(line)
    print(await measureElections(cluster))
  } finally {
    rpc.close()
    await cluster.stop()
  }
}

/**
 * @param cluster - running cluster
 * @returns the leading control host
 */
export async function findLeader (cluster: Cluster): Promise<ClusterMember> {
  let leader: ClusterMember | undefined
  await waitUntil(async () => {
    for (const control of cluster.controls) {
      if (control.process.isRunning && await cluster.metric(control, 'eelgrassmux_raft_is_leader') === 1) leader = control
    }
    return leader !== undefined
  })
  if (leader === undefined) throw new Error('the control hosts have no leader')
  return leader
}

/** @returns a claim with a new idempotency key */
export function createClaim (): Command {
  const id = randomUUID()
  return { kind: 'claim', record: { customer: 'ward', service: 'accounts', idempotencyKey: id }, bodySha256: id, claimId: id, deadlineAt: Date.now() }
}

async function measureCommits (cluster: Cluster, rpc: RpcClient, callers: number): Promise<string> {
  const leader = await findLeader(cluster)
  const address = leader.addresses.rpc ?? ''
  const syncsBefore = await cluster.metric(leader, 'eelgrassmux_raft_syncs')
  const latencies: number[] = []
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: callers }, async () => {
    while (performance.now() < startedAt + COMMIT_WINDOW_MS) {
      const sentAt = performance.now()
      const answer = await rpc.call(address, propose, { command: createClaim() }, CALL_TIMEOUT_MS)
      if (answer.ok && answer.value.kind === 'applied') latencies.push(performance.now() - sentAt)
    }
  }))
  const seconds = (performance.now() - startedAt) / 1000
  const syncs = await cluster.metric(leader, 'eelgrassmux_raft_syncs') - syncsBefore
  return `commits with ${callers} callers: ${Math.round(latencies.length / seconds)} a second, ${(latencies.length / syncs).toFixed(1)} a sync, ` +
    `latency p50 ${median(latencies).toFixed(1)} ms p99 ${percentile(latencies, 0.99).toFixed(1)} ms`
}

async function measurePropagation (cluster: Cluster, rpc: RpcClient): Promise<string> {
  const address = (await findLeader(cluster)).addresses.rpc ?? ''
  const times: number[] = []
  for (let change = 0; change < CHANGES; change += 1) {
    const command: Command = {
      kind: 'change-configuration', requestId: randomUUID(), upserts: [{ ...TMTS_PROFILE, priority: change % 10 }], removes: []
    }
    await rpc.call(address, propose, { command }, CALL_TIMEOUT_MS)
    const acceptedAt = performance.now()
    for (;;) {
      const hosts = await rpc.call(address, listHosts, {}, CALL_TIMEOUT_MS)
      if (hosts.ok) {
        const entries = hosts.value.hosts.filter(host => host.role === 'entry')
        if (entries.length === cluster.entries.length && entries.every(host => host.viewRevision >= hosts.value.viewRevision)) break
      }
      await sleep(1)
    }
    times.push(performance.now() - acceptedAt)
    await sleep(50)
  }
  return `accepted to in force on ${cluster.entries.length} entry hosts: median ${median(times).toFixed(1)} ms worst of ${CHANGES} ${Math.max(...times).toFixed(1)} ms`
}

async function measureWatchers (cluster: Cluster, rpc: RpcClient): Promise<string[]> {
  const follower = cluster.controls.find(control => control !== undefined)
  if (follower === undefined) return []
  const leader = await findLeader(cluster)
  const processorTime = async (): Promise<number> => await cluster.metric(follower, 'process_cpu_seconds_total')
  const processorShareDuring = async (work: () => Promise<void>): Promise<number> => {
    const before = await processorTime()
    const startedAt = performance.now()
    await work()
    return (await processorTime() - before) / ((performance.now() - startedAt) / 1000)
  }
  const change = async (): Promise<void> => {
    for (let turn = 0; turn < WATCH_WINDOW_MS / 100; turn += 1) {
      const command: Command = { kind: 'change-configuration', requestId: randomUUID(), upserts: [{ ...TMTS_PROFILE, priority: turn % 10 }], removes: [] }
      await rpc.call(leader.addresses.rpc ?? '', propose, { command }, CALL_TIMEOUT_MS)
      await sleep(100)
    }
  }
  const idleBaseline = await processorShareDuring(async () => { await sleep(WATCH_WINDOW_MS) })
  const busyBaseline = await processorShareDuring(change)
  const abort = new AbortController()
  const watches = Array.from({ length: WATCHERS }, async () => {
    await rpc.stream(follower.addresses.rpc ?? '', watchView, { viewRevision: 0 }, () => {}, abort.signal)
  })
  await sleep(500)
  const idleWatched = await processorShareDuring(async () => { await sleep(WATCH_WINDOW_MS) })
  const busyWatched = await processorShareDuring(change)
  abort.abort()
  await Promise.all(watches)
  const costPerWatcher = (withWatchers: number, without: number): string => `${((withWatchers - without) / WATCHERS * 1e6).toFixed(0)} µs of processor time a second`
  return [
    `an idle watcher costs its control host ${costPerWatcher(idleWatched, idleBaseline)}`,
    `a watcher at 10 changes a second costs ${costPerWatcher(busyWatched, busyBaseline)}`
  ]
}

async function measureElections (cluster: Cluster): Promise<string> {
  const times: number[] = []
  for (let turn = 0; turn < ELECTIONS; turn += 1) {
    const leader = await findLeader(cluster)
    const others = cluster.controls.filter(control => control !== leader)
    await leader.process.kill()
    const killedAt = performance.now()
    let elected = false
    while (!elected) {
      const states = await Promise.all(others.map(async control => await cluster.metric(control, 'eelgrassmux_raft_is_leader')))
      elected = states.some(state => state === 1)
    }
    times.push(performance.now() - killedAt)
    await cluster.restart(leader)
    await sleep(500)
  }
  return `without a leader after kill -9: median ${median(times).toFixed(0)} ms worst of ${ELECTIONS} ${Math.max(...times).toFixed(0)} ms`
}
