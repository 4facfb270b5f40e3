import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { streamCompletion } from '@eelgrassmux/load/completionStream'
import { Cluster } from './lib/Cluster.js'
import { TMTS_PROFILE } from './lib/profiles.js'

const WARD = { name: 'ward', credential: 'ward-credential', share: 1 }

/** One engine in each data centre. */
const DATA_CENTRES = ['hall-north', 'hall-central', 'hall-south']

const PLAN = {
  dataCentres: DATA_CENTRES,
  controls: 3,
  directories: 1,
  entries: 2,
  engines: DATA_CENTRES.length,
  stores: 1,
  services: 0,
  customers: [WARD],
  profiles: [TMTS_PROFILE],
  modelProfile: 'tmts',
  engineArgs: ['--decode-ms', '5']
}

describe('the evacuation of data centres', () => {
  let cluster: Cluster
  beforeAll(async () => { cluster = await Cluster.start(PLAN) })
  afterAll(async () => { await cluster.stop() })

  async function statusOf (entry: number): Promise<number> {
    const call = { url: cluster.entryUrl(entry), credential: WARD.credential, service: 'summaries', prompt: `history ${entry} `.repeat(20), maxTokens: 3 }
    return (await streamCompletion(call)).status
  }

  it('is in force on all hosts when the order returns, is refused where all are evacuated, and ends', async () => {
    const evacuate = async (...words: string[]): Promise<{ code: number | null, stdout: string, stderr: string }> => await cluster.command(['evacuate', ...words])
    expect((await evacuate('hall-north', 'status')).stdout).toBe('hall-north in use, no order so far\n')
    for (const dataCentre of DATA_CENTRES) {
      expect((await evacuate(dataCentre, 'start')).stdout).toMatch(new RegExp(`^${dataCentre} evacuated, in force on \\d+ hosts\n$`))
    }
    expect(await statusOf(0)).toBe(503)
    expect(await statusOf(1)).toBe(503)
    expect((await evacuate('hall-north', 'start')).stdout).toContain('hall-north evacuated')
    expect((await evacuate('hall-north', 'status')).stdout).toMatch(/^hall-north evacuated, ordered \d+ s ago\n$/)
    expect((await cluster.command(['doctor'])).stdout).toContain('data centre hall-north is evacuated\n')
    expect((await evacuate('hall-north', 'end')).stdout).toContain('hall-north in use')
    await sleep(500)
    expect(await statusOf(0)).toBe(200)
    expect(await statusOf(1)).toBe(200)
  }, 60_000)

  it('is refused with the field that is wrong', async () => {
    expect(await cluster.command(['evacuate', 'no name', 'start'])).toMatchObject({ code: 2, stderr: expect.stringContaining('data-centre: ') as string })
    expect(await cluster.command(['evacuate', 'hall-north', 'stop'])).toMatchObject({ code: 2, stderr: 'eelgrassmux: stop: write start, end or status\n' })
  })
})
