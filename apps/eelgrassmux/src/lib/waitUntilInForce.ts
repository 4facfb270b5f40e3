/** Waits until no live host uses an older view. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { HostReport } from '@eelgrassmux/rpc/methods/controlMethods'
import type { ControlClient, MajorityView } from './ControlClient.js'

/** Interval between checks, in milliseconds. */
const POLL_INTERVAL_MS = 100

/** Outcome of the wait. */
export type InForceOutcome =
  | { readonly kind: 'in-force', readonly hosts: number, readonly elapsedMs: number }
  | { readonly kind: 'waiting', readonly behind: readonly string[] }

/**
 * Waits until each host has the view in force or its lease has expired.
 *
 * A majority of the voters confirms the lease of a host, so every majority that
 * answers here contains at least one voter that knows the host.
 *
 * @param client - client of the control hosts
 * @param viewRevision - minimum view revision
 * @param freshnessMs - duration of a host's lease, in milliseconds
 * @param timeoutMs - maximum wait, in milliseconds
 * @returns the number of hosts on which the view is in force, or the hosts that lag behind
 */
export async function waitUntilInForce (client: ControlClient, viewRevision: number, freshnessMs: number, timeoutMs: number): Promise<InForceOutcome> {
  const startedAt = performance.now()
  let behind: string[] = ['no majority of control hosts answered']
  while (performance.now() < startedAt + timeoutMs) {
    const majority = await client.majority()
    if (majority.ok) {
      const hosts = liveHosts(majority.value, freshnessMs)
      behind = [
        ...hosts.filter(host => host.viewRevision < viewRevision).map(host => host.host),
        ...recentlyStartedVoters(majority.value, freshnessMs)
      ]
      if (behind.length === 0) return { kind: 'in-force', hosts: hosts.length, elapsedMs: performance.now() - startedAt }
    }
    await sleep(POLL_INTERVAL_MS)
  }
  return { kind: 'waiting', behind }
}

/** Returns the newest report of each host in the majority's answers, if its lease may still be valid. */
function liveHosts ({ answers }: MajorityView, freshnessMs: number): HostReport[] {
  const newest = new Map<string, HostReport>()
  for (const report of answers.flatMap(answer => answer.hosts)) {
    const key = `${report.role}/${report.host}`
    const known = newest.get(key)
    if (report.ageMs <= freshnessMs && (known === undefined || report.ageMs < known.ageMs)) newest.set(key, report)
  }
  return [...newest.values()]
}

/** Returns the voters that started less than one lease ago: such a voter may no longer know hosts with valid leases. */
function recentlyStartedVoters ({ answers }: MajorityView, freshnessMs: number): string[] {
  return answers.filter(answer => answer.uptimeMs < freshnessMs).map(answer => `control host ${answer.replicaId} started just now`)
}
