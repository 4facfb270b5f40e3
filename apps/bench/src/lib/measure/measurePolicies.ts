/** Replays the same trace under the product's placement policy and under the baselines. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import type { ReplayResult } from '@eelgrassmux/load/replay'
import { makeTrace, type TraceLine } from '@eelgrassmux/load/trace'
import { PLACEMENT_POLICIES, type PlacementPolicyName } from '@eelgrassmux/policy/placement/createPlacementPolicy'
import { Cluster } from '../Cluster.js'
import { programPath } from '../ManagedProcess.js'
import { LSCSA_PROFILE, TMTS_PROFILE } from '../profiles.js'
import { injectFault, type FaultName } from './faults.js'

export type ProfileName = 'tmts' | 'lscsa'

/** Options of a comparison of policies. */
export interface PolicyMeasurement {
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly seed: number
  readonly profile: ProfileName
  readonly fault: FaultName | undefined
  readonly policies: readonly PlacementPolicyName[]
}

/** Measured values of one policy. */
export interface PolicyResult extends ReplayResult {
  readonly policy: PlacementPolicyName
  readonly linkBytes: number
  /** Counters of the daemons by metric and label. */
  readonly counters: ReadonlyMap<string, number>
}

const CUSTOMERS = Array.from({ length: 10 }, (_, index) => ({
  name: `customer-${index}`, credential: `credential-of-customer-${index}`, share: 1
}))

/** As many stand-in engines as the smaller site has, with caches far smaller than the working set of the trace. */
const ENGINES = 8
const ENGINE_ARGS = ['--cache-blocks', '150', '--prefill-tokens-per-ms', '8', '--decode-ms', '10', '--max-running', '16']
const STORE_ARGS = ['--memory-bytes', String(48 * 1024 * 1024), '--disk-bytes', String(96 * 1024 * 1024)]
const LINK_BYTES_PER_SECOND = 20 * 1024 * 1024

/**
 * Measures each policy on a separate cluster.
 *
 * @param measurement - options of the comparison
 * @param onResult - called with the result of each policy
 * @returns all results, starting with that of the product's policy
 */
export async function measurePolicies (measurement: PolicyMeasurement, onResult: (result: PolicyResult) => void): Promise<PolicyResult[]> {
  const trace = makeTrace({
    seed: measurement.seed,
    seconds: measurement.seconds,
    requestsPerSecond: measurement.requestsPerSecond,
    customers: CUSTOMERS.map(({ name }) => name),
    service: 'summaries'
  })
  const results: PolicyResult[] = []
  for (const policy of PLACEMENT_POLICIES) {
    if (!measurement.policies.includes(policy)) continue
    const result = await measureOne(measurement, policy, trace)
    results.push(result)
    onResult(result)
  }
  return results
}

async function measureOne (measurement: PolicyMeasurement, policy: PlacementPolicyName, trace: readonly TraceLine[]): Promise<PolicyResult> {
  const cluster = await Cluster.start({
    dataCentres: ['hall-north', 'hall-central', 'hall-south'],
    controls: 3,
    directories: 3,
    entries: 4,
    engines: ENGINES,
    stores: 2,
    services: 0,
    customers: CUSTOMERS,
    profiles: [TMTS_PROFILE, LSCSA_PROFILE],
    modelProfile: measurement.profile,
    engineArgs: ENGINE_ARGS,
    storeArgs: STORE_ARGS,
    storeLinkBytesPerSecond: LINK_BYTES_PER_SECOND,
    entryArgs: ['--policy', policy]
  })
  try {
    const replaying = runReplay(cluster, trace)
    if (measurement.fault !== undefined) {
      await sleep(measurement.seconds * 1000 / 3)
      await injectFault(cluster, measurement.fault)
    }
    const result = await replaying
    const counters = await cluster.counters([...cluster.entries, ...cluster.directories])
    const linkBytes = (counters.get('link_bytes_total import') ?? 0) + (counters.get('link_bytes_total export') ?? 0)
    return { ...result, policy, linkBytes, counters }
  } finally {
    await cluster.stop()
  }
}

async function runReplay (cluster: Cluster, trace: readonly TraceLine[]): Promise<ReplayResult> {
  const traceFile = join(cluster.folder, 'trace.jsonl')
  const credentialsFile = join(cluster.folder, 'credentials.json')
  await writeFile(traceFile, trace.map(line => JSON.stringify(line)).join('\n'))
  await writeFile(credentialsFile, JSON.stringify(Object.fromEntries(CUSTOMERS.map(({ name, credential }) => [name, credential]))))
  const urls = cluster.entries.map((_, index) => cluster.entryUrl(index)).join(',')
  const child = spawn(process.execPath, [programPath('load'), 'replay', '--trace', traceFile, '--urls', urls, '--credentials', credentialsFile],
    { stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout.on('data', (bytes: Buffer) => { output += bytes.toString() })
  await once(child, 'close')
  return JSON.parse(output) as ReplayResult
}

/**
 * @param result - measured values of one policy
 * @returns the report line of the policy
 */
export function describeResult (result: PolicyResult): string {
  const { policy, ttftP50Ms, ttftP95Ms, recomputedShare, linkBytes, refused, wrong } = result
  return `policy ${policy}: ttft_p50_ms ${ttftP50Ms.toFixed(1)} ttft_p95_ms ${ttftP95Ms.toFixed(1)} ` +
    `recomputed_share ${recomputedShare.toFixed(4)} link_bytes ${linkBytes} refused ${refused} wrong ${wrong}`
}

/**
 * @param results - results, starting with that of the product's policy
 * @returns report lines with the ratio of the first result to each baseline
 */
export function describeRatios (results: readonly PolicyResult[]): string[] {
  const [own, ...baselines] = results
  if (own === undefined) return []
  return baselines.map(baseline => {
    const ratio = (of: (result: PolicyResult) => number): string => (of(own) / Math.max(1e-9, of(baseline))).toFixed(2)
    return `ratio ${own.policy}/${baseline.policy}: ttft_p50 ${ratio(result => result.ttftP50Ms)} ` +
      `ttft_p95 ${ratio(result => result.ttftP95Ms)} recomputed_share ${ratio(result => result.recomputedShare)} ` +
      `link_bytes ${baseline.linkBytes === 0 ? 'none' : ratio(result => result.linkBytes)}`
  })
}
