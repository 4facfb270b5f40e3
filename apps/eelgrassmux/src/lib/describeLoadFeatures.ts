/** Describes which features for hard load are in use on entry hosts. */
import type { HostReport } from '@eelgrassmux/rpc/methods/controlMethods'

/**
 * @param reports - newest report of each host
 * @returns one line for each set of features and reason, with the number of entry hosts; empty if no host uses any
 */
export function describeLoadFeatures (reports: readonly Pick<HostReport, 'role' | 'loadFeatures'>[]): string[] {
  const entryHosts = reports.filter(report => report.role === 'entry')
  const hostsBySet = new Map<string, number>()
  for (const { loadFeatures } of entryHosts) {
    if (loadFeatures === undefined) continue
    const set = `${loadFeatures.names.join(', ')} (${loadFeatures.reason})`
    hostsBySet.set(set, (hostsBySet.get(set) ?? 0) + 1)
  }
  return [...hostsBySet].map(([set, hosts]) => `load features on ${hosts} of ${entryHosts.length} entry hosts: ${set}`)
}
