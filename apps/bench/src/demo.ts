/**
 * Demonstrates the product end to end, with separate processes on loopback.
 *
 * Prints the result of each step. Exits with 0 if all steps behave as stated, with 1 otherwise.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { streamCompletion, type CompletionCall, type StreamedAnswer } from '@eelgrassmux/load/completionStream'
import { isExpectedAnswer } from '@eelgrassmux/load/isExpectedAnswer'
import { postOnce } from './lib/postOnce.js'
import { Cluster, waitUntil } from './lib/Cluster.js'
import { LSCSA_PROFILE, TMTS_PROFILE } from './lib/profiles.js'

const CUSTOMERS = [
  { name: 'ward-office', credential: 'demo-credential-ward-office', share: 1 },
  { name: 'clinic-shuttles', credential: 'demo-credential-clinic-shuttles', share: 1 }
]

/** Cache size of each engine in blocks, small so that a prompt is soon evicted. */
const ENGINE_BLOCKS = '96'

const ANSWER_TOKENS = 24

let failures = 0

function report (step: string, holds: boolean, detail: string): void {
  if (!holds) failures += 1
  process.stdout.write(`${holds ? 'ok  ' : 'FAIL'} ${step}: ${detail}\n`)
}

/** Returns a prompt of the given length whose content depends on the name. */
function promptOf (name: string, characters: number): string {
  return `Trip history of ${name}. `.repeat(Math.ceil(characters / 20)).slice(0, characters)
}

function call (cluster: Cluster, prompt: string, entry = 0, customer = 0): CompletionCall {
  return { url: cluster.entryUrl(entry), credential: CUSTOMERS[customer]?.credential ?? '', service: 'summaries', prompt, maxTokens: ANSWER_TOKENS }
}

function recomputed (answer: StreamedAnswer): string {
  return `${Math.round(100 * (1 - answer.cachedTokens / answer.promptTokens))}% recomputed, first token after ${Math.round(answer.firstTokenMs)} ms`
}

async function demonstrate (cluster: Cluster): Promise<void> {
  const prompt = promptOf('family 17', 12_000)
  const first = await streamCompletion(call(cluster, prompt))
  report('first prompt', isExpectedAnswer(first, prompt, ANSWER_TOKENS), `${first.tokens} tokens, ${recomputed(first)}`)

  const published = async (): Promise<boolean> => {
    const objects = await Promise.all(cluster.directories.map(async member => await cluster.metric(member, 'eelgrassmux_directory_objects')))
    return objects.some(count => count > 0)
  }
  await waitUntil(published)
  for (let other = 0; other < 14; other += 1) await streamCompletion(call(cluster, promptOf(`other family ${other}`, 12_000), other % 3))
  await sleep(600)
  const returned = await streamCompletion(call(cluster, prompt, 1))
  report('same prompt after eviction, through another entry host', isExpectedAnswer(returned, prompt, ANSWER_TOKENS) && returned.cachedTokens > returned.promptTokens / 2,
    recomputed(returned))
  const imports = await Promise.all(cluster.entries.map(async member => await cluster.metric(member, 'eelgrassmux_imports_total')))
  report('its blocks came from a store', imports.some(count => count > 0), `${imports.reduce((sum, count) => sum + count, 0)} imports`)

  const otherCustomer = await streamCompletion(call(cluster, prompt, 0, 1))
  report('the same text from another customer shares nothing', otherCustomer.cachedTokens === 0 && isExpectedAnswer(otherCustomer, prompt, ANSWER_TOKENS), recomputed(otherCustomer))

  const deposit = { account: 'T-204', cents: 5000 }
  const credential = CUSTOMERS[0]?.credential ?? ''
  const firstDeposit = await postOnce(cluster.entryUrl(0), credential, 'accounts/deposits', deposit, 'deposit-1')
  const repeatedDeposit = await postOnce(cluster.entryUrl(2), credential, 'accounts/deposits', deposit, 'deposit-1')
  const executions = await Promise.all(cluster.services.map(async member => {
    const counts = await (await request(`http://${member.addresses.http}/standin/executions`)).body.json() as Record<string, number>
    return counts[JSON.stringify(deposit)] ?? 0
  }))
  const runs = executions.reduce((sum, count) => sum + count, 0)
  report('a deposit and its repeat', firstDeposit.status === 200 && repeatedDeposit.isRepeat && repeatedDeposit.body === firstDeposit.body && runs === 1, `${firstDeposit.body}, ran ${runs} time`)

  await changeUnderTraffic(cluster)
}

async function changeUnderTraffic (cluster: Cluster): Promise<void> {
  const trafficAbort = new AbortController()
  let wholeAnswers = 0
  let brokenAnswers = 0
  const traffic = [0, 1, 2].map(async entry => {
    for (let turn = 0; !trafficAbort.signal.aborted; turn += 1) {
      const prompt = promptOf(`traffic ${entry} ${turn}`, 2000)
      const answer = await streamCompletion(call(cluster, prompt, entry))
      if (isExpectedAnswer(answer, prompt, ANSWER_TOKENS)) wholeAnswers += 1
      else brokenAnswers += 1
    }
  })
  await sleep(500)
  const output = await cluster.applyAll([{ ...LSCSA_PROFILE, name: 'tmts' }])
  await sleep(500)
  trafficAbort.abort()
  await Promise.all(traffic)
  const revisions = await Promise.all(cluster.entries.map(async member => await cluster.metric(member, 'eelgrassmux_configuration_revision')))
  report('a profile changed while traffic flowed', brokenAnswers === 0 && wholeAnswers > 0 && revisions.every(revision => revision === revisions[0]),
    `${output.stdout.trim().replaceAll('\n', ', ')}; ${wholeAnswers} answers whole, ${brokenAnswers} not`)
}

const cluster = await Cluster.start({
  dataCentres: ['hall-north', 'hall-central', 'hall-south'],
  controls: 3,
  directories: 3,
  entries: 3,
  engines: 3,
  stores: 2,
  services: 3,
  customers: CUSTOMERS,
  profiles: [TMTS_PROFILE, LSCSA_PROFILE],
  modelProfile: 'tmts',
  engineArgs: ['--cache-blocks', ENGINE_BLOCKS]
})
try {
  await demonstrate(cluster)
} finally {
  await cluster.stop()
}
process.stdout.write(failures === 0 ? 'all steps as stated\n' : `${failures} steps not as stated\n`)
process.exitCode = failures === 0 ? 0 : 1
