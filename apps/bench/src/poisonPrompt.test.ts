import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { streamCompletion, type CompletionCall, type StreamedAnswer } from '@eelgrassmux/load/completionStream'
import { Cluster } from './lib/Cluster.js'
import { TMTS_PROFILE } from './lib/profiles.js'

const WARD = { name: 'ward', credential: 'ward-credential', share: 1 }
const CLINIC = { name: 'clinic', credential: 'clinic-credential', share: 1 }
const POISON_TEXT = 'ends the engine'
const POISON_PROMPT = `history that ${POISON_TEXT} `.repeat(20)

/** More engines than the prompt crashes before it is detected. */
const ENGINES = 6

/** Number of calls with the prompt, each of which may be attempted on several engines. */
const REPEATS = 8

/** Delay before the caller repeats the prompt, in milliseconds. */
const PAUSE_MS = 1500

const PLAN = {
  dataCentres: ['hall-north', 'hall-central', 'hall-south'],
  controls: 3,
  directories: 1,
  entries: 3,
  engines: ENGINES,
  stores: 1,
  services: 0,
  customers: [WARD, CLINIC],
  profiles: [TMTS_PROFILE],
  modelProfile: 'tmts',
  engineArgs: ['--decode-ms', '20', '--poison-text', POISON_TEXT]
}

/**
 * Guards against a prompt that crashes all engines. The completions interface retries a lost run on another engine,
 * so one call crashes as many engines as its profile allows attempts, and each repeat of the call crashes as many
 * again. This happened when failures were counted only for engines and not for prompts.
 */
describe('a prompt that ends every engine that runs it', () => {
  let cluster: Cluster
  beforeAll(async () => { cluster = await Cluster.start(PLAN) })
  afterAll(async () => { await cluster.stop() })

  const call = (entry: number, prompt: string, credential = WARD.credential): CompletionCall =>
    ({ url: cluster.entryUrl(entry), credential, service: 'summaries', prompt, maxTokens: 5 })

  const running = (): number => cluster.engines.filter(({ process }) => process.isRunning).length

  async function problemOf (entry: number): Promise<Record<string, unknown>> {
    const answer = await request(`${cluster.entryUrl(entry)}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${WARD.credential}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'summaries', prompt: POISON_PROMPT, max_tokens: 5 })
    })
    return await answer.body.json() as Record<string, unknown>
  }

  it('is held back on every entry host before all engines have ended, and nobody else is', async () => {
    const answers: StreamedAnswer[] = []
    for (let repeat = 0; repeat < REPEATS; repeat += 1) {
      answers.push(await streamCompletion(call(repeat % 3, POISON_PROMPT)))
      await sleep(PAUSE_MS)
    }
    expect(running()).toBeGreaterThan(0)
    expect(answers.at(-1)?.status).toBe(503)
    for (const entry of [0, 1, 2]) {
      expect(await problemOf(entry)).toMatchObject({ type: 'urn:eelgrassmux:problem:request-quarantined', run: 'not-run' })
      expect((await streamCompletion(call(entry, 'history of a trip '.repeat(20)))).status).toBe(200)
    }
    const listed = await cluster.command(['quarantine'])
    const [fingerprint = ''] = listed.stdout.split(' ')
    expect(listed.stdout).toMatch(/^[0-9a-f]{32} summaries quarantined for \d+ s, quarantined 1 times so far\n$/)
    expect((await cluster.command(['doctor'])).stdout).toContain(`request ${fingerprint} of summaries is quarantined`)
    expect(await cluster.command(['quarantine', '--lift', 'x'])).toMatchObject({ code: 2, stderr: 'eelgrassmux: --lift: a fingerprint has 32 hexadecimal digits\n' })
    expect((await cluster.command(['quarantine', '--lift', 'f'.repeat(32)])).stderr).toContain('there is no entry on')
    expect((await cluster.command(['quarantine', '--lift', fingerprint])).stdout).toBe('lifted\n')
    expect((await cluster.command(['quarantine'])).stdout).toBe('no request is quarantined\n')
  }, 120_000)
})
