/** Waits until no live host acts on an older configuration. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { HostReport } from '@eelgrassmux/rpc/methods/controlMethods'
import type { ControlClient, MajorityView } from './ControlClient.js'

/** Interval between looks, in milliseconds. */
const POLL_INTERVAL_MS = 100

/** Outcome of waiting. */
export type InForceOutcome =
  | { readonly kind: 'in-force', readonly hosts: number, readonly elapsedMs: number }
  | { readonly kind: 'waiting', readonly behind: readonly string[] }

/**
 * Waits until every host that may be alive has a view in force, or its lease has run out.
 *
 * A host with a valid lease has been confirmed by a majority of voters, so it is
 * in the table of at least one voter of any majority that is asked here.
 *
 * @param client - way to the control hosts
 * @param viewRevision - view that must be in force
 * @param freshnessMs - lease of the hosts
 * @param timeoutMs - how long to wait
 * @returns whether it is in force, or who is behind
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

/** Each host's newest report over the majority, if its lease may still run. */
function liveHosts ({ answers }: MajorityView, freshnessMs: number): HostReport[] {
  const newest = new Map<string, HostReport>()
  for (const report of answers.flatMap(answer => answer.hosts)) {
    const key = `${report.role}/${report.host}`
    const present = newest.get(key)
    if (report.ageMs <= freshnessMs && (present === undefined || report.ageMs < present.ageMs)) newest.set(key, report)
  }
  return [...newest.values()]
}

/** A voter that started just now may have forgotten hosts with valid leases. */
function recentlyStartedVoters ({ answers }: MajorityView, freshnessMs: number): string[] {
  return answers.filter(answer => answer.uptimeMs < freshnessMs).map(answer => `control host ${answer.replicaId} started just now`)
}
