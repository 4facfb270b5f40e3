/** Measures the latency and processor time that the entry host adds, compared to direct calls of a stand-in engine in the same run. */
import { request } from 'undici'
import { streamCompletion } from '@eelgrassmux/load/completionStream'
import { Cluster } from '../Cluster.js'
import { TMTS_PROFILE } from '../profiles.js'
import { median, percentile } from './fit.js'

const STREAMS = 200
const ANSWER_TOKENS = 60
const ROUNDS = 3

/** A prompt shorter than one block, so that it is not cached and its prefill time is negligible. */
const PROMPT = 'tag this leg'

/** Time over which the requests of one round are spread, in milliseconds. */
const ARRIVAL_WINDOW_MS = 1000

interface StreamTiming {
  readonly firstTokenMs: number
}

/**
 * Measures streams, in alternating rounds, directly from a stand-in engine and through an entry host.
 *
 * @param print - prints a line of the report
 */
export async function measureOverhead (print: (line: string) => void): Promise<void> {
  const cluster = await Cluster.start({
    dataCentres: ['hall-north'],
    controls: 1,
    directories: 1,
    entries: 1,
    engines: 4,
    stores: 0,
    services: 0,
    customers: [{ name: 'ward', credential: 'ward', share: 1 }],
    profiles: [TMTS_PROFILE],
    modelProfile: 'tmts',
    engineArgs: ['--max-running', '100', '--decode-ms', '30', '--prefill-tokens-per-ms', '2']
  })
  try {
    const direct: StreamTiming[] = []
    const proxied: StreamTiming[] = []
    const entry = cluster.entries[0]
    if (entry === undefined) return
    await runRound(async index => await streamDirectly(cluster, index))
    let processorSeconds = 0
    for (let turn = 0; turn < ROUNDS; turn += 1) {
      direct.push(...await runRound(async index => await streamDirectly(cluster, index)))
      const before = await cluster.metric(entry, 'process_cpu_seconds_total')
      proxied.push(...await runRound(async () => await streamViaEntry(cluster)))
      processorSeconds += await cluster.metric(entry, 'process_cpu_seconds_total') - before
    }
    const directTimes = direct.map(({ firstTokenMs }) => firstTokenMs)
    const proxiedTimes = proxied.map(({ firstTokenMs }) => firstTokenMs)
    const ratio = median(proxiedTimes) / median(directTimes)
    const added = percentile(proxiedTimes, 0.99) - percentile(directTimes, 0.99)
    print(`first token at ${STREAMS} streams at once: direct p50 ${median(directTimes).toFixed(2)} ms p99 ${percentile(directTimes, 0.99).toFixed(2)} ms, ` +
      `through the entry host p50 ${median(proxiedTimes).toFixed(2)} ms p99 ${percentile(proxiedTimes, 0.99).toFixed(2)} ms`)
    print(`ratio of medians ${ratio.toFixed(3)}, added at p99 ${added.toFixed(2)} ms`)
    print(`processor time of the entry host: ${(processorSeconds * 1e6 / (ROUNDS * STREAMS * ANSWER_TOKENS)).toFixed(1)} µs a token`)
  } finally {
    await cluster.stop()
  }
}

async function runRound (one: (index: number) => Promise<StreamTiming>): Promise<StreamTiming[]> {
  return await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
    await new Promise(resolve => { setTimeout(resolve, index * ARRIVAL_WINDOW_MS / STREAMS) })
    return await one(index)
  }))
}

async function streamViaEntry (cluster: Cluster): Promise<StreamTiming> {
  const answer = await streamCompletion({
    url: cluster.entryUrl(0), credential: 'ward', service: 'summaries', prompt: PROMPT, maxTokens: ANSWER_TOKENS
  })
  if (!answer.isDone) throw new Error(JSON.stringify(answer.problem))
  return { firstTokenMs: answer.firstTokenMs }
}

async function streamDirectly (cluster: Cluster, index: number): Promise<StreamTiming> {
  const engine = cluster.engines[index % cluster.engines.length]
  const startedAt = performance.now()
  const response = await request(`http://${engine?.addresses.http ?? ''}/runs`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      run: `direct-${Math.random()}`, prompt: PROMPT, maxTokens: ANSWER_TOKENS, priority: 5, cacheSalt: 'direct', expectedVersion: 'v1', produced: []
    })
  })
  let firstTokenMs = 0
  for await (const bytes of response.body) {
    if (firstTokenMs === 0 && bytes.length > 0) firstTokenMs = performance.now() - startedAt
  }
  return { firstTokenMs }
}
