/** Injects faults into a running cluster and repairs them after a while. */
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import type { Cluster, ClusterMember } from '../Cluster.js'

export const FAULT_NAMES = ['store-dies', 'store-full', 'slow-link', 'engine-restarts', 'entry-killed', 'control-cut-off'] as const

/** @public */
export type FaultName = typeof FAULT_NAMES[number]

/** Duration of faults that are repaired, in milliseconds. */
const FAULT_DURATION_MS = 4000

/**
 * Injects a fault and, if it is not permanent, repairs it.
 *
 * @param cluster - running cluster
 * @param fault - fault to inject
 */
export async function injectFault (cluster: Cluster, fault: FaultName): Promise<void> {
  switch (fault) {
    case 'store-dies': await restartAfter(cluster, cluster.stores[0], FAULT_DURATION_MS); break
    case 'store-full': await post(cluster.stores[0], '/standin/fill'); break
    case 'slow-link': {
      const full = cluster.plan.storeLinkBytesPerSecond ?? 0
      await post(cluster.stores[0], `/standin/link/${Math.round(full / 10)}`)
      await sleep(FAULT_DURATION_MS)
      await post(cluster.stores[0], `/standin/link/${full}`)
      break
    }
    case 'engine-restarts': await restartAfter(cluster, cluster.engines[0], 0); break
    case 'entry-killed': await restartAfter(cluster, cluster.entries[0], 500); break
    case 'control-cut-off': {
      const leader = await currentLeader(cluster)
      leader?.process.signal('SIGSTOP')
      await sleep(FAULT_DURATION_MS)
      leader?.process.signal('SIGCONT')
      break
    }
  }
}

async function restartAfter (cluster: Cluster, member: ClusterMember | undefined, milliseconds: number): Promise<void> {
  if (member === undefined) return
  await member.process.kill()
  await sleep(milliseconds)
  await cluster.restart(member, ['--incarnation', '2'])
}

async function currentLeader (cluster: Cluster): Promise<ClusterMember | undefined> {
  for (const control of cluster.controls) {
    if (await cluster.metric(control, 'eelgrassmux_raft_is_leader') === 1) return control
  }
  return undefined
}

async function post (member: ClusterMember | undefined, path: string): Promise<void> {
  const response = await request(`http://${member?.addresses.http ?? ''}${path}`, { method: 'POST' })
  await response.body.dump()
}
