/** Tests the behaviour of a cluster of real processes under injected failures. */
import { rm } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { resumeCompletion, streamCompletion, type CompletionCall, type StreamedAnswer } from '@eelgrassmux/load/completionStream'
import { isExpectedAnswer } from '@eelgrassmux/load/isExpectedAnswer'
import { postOnce } from './lib/postOnce.js'
import { Cluster, waitUntil, type ClusterMember } from './lib/Cluster.js'
import { TMTS_PROFILE } from './lib/profiles.js'

const WARD = { name: 'ward', credential: 'ward-credential', share: 1 }
const CLINIC = { name: 'clinic', credential: 'clinic-credential', share: 1 }

const PLAN = {
  dataCentres: ['hall-north', 'hall-central', 'hall-south'],
  controls: 3,
  directories: 2,
  entries: 3,
  engines: 3,
  stores: 1,
  services: 2,
  customers: [WARD, CLINIC],
  profiles: [TMTS_PROFILE],
  modelProfile: 'tmts',
  engineArgs: ['--decode-ms', '20'],
  entryArgs: ['--resume-grace-ms', '4000']
}

describe('a cluster of processes', () => {
  let cluster: Cluster
  beforeAll(async () => { cluster = await Cluster.start(PLAN) })
  afterAll(async () => { await cluster.stop() })

  const call = (entry: number, prompt: string, maxTokens = 40): CompletionCall =>
    ({ url: cluster.entryUrl(entry), credential: WARD.credential, service: 'summaries', prompt, maxTokens })

  const prompt = (name: string): string => `history of ${name} `.repeat(100)

  const member = (members: readonly ClusterMember[], index: number): ClusterMember => {
    const found = members[index]
    if (found === undefined) throw new Error(`no member ${index}`)
    return found
  }

  const leader = async (): Promise<ClusterMember> => {
    let found: ClusterMember | undefined
    await waitUntil(async () => {
      for (const control of cluster.controls) {
        if (!control.process.isRunning) continue
        if (await cluster.metric(control, 'eelgrassmux_raft_is_leader') === 1) found = control
      }
      return found !== undefined
    })
    return found ?? member(cluster.controls, 0)
  }

  const executions = async (body: object): Promise<number> => {
    let total = 0
    for (const service of cluster.services) {
      const counts = await (await request(`http://${service.addresses.http}/standin/executions`)).body.json() as Record<string, number>
      total += counts[JSON.stringify(body)] ?? 0
    }
    return total
  }

  describe('bad input', () => {
    const post = async (body: string, headers: Record<string, string> = {}): Promise<{ status: number, problem: Record<string, unknown> }> => {
      const response = await request(`${cluster.entryUrl(0)}/v1/completions`, {
        method: 'POST', headers: { authorization: `Bearer ${WARD.credential}`, 'content-type': 'application/json', ...headers }, body
      })
      return { status: response.statusCode, problem: await response.body.json() as Record<string, unknown> }
    }

    it.each([
      ['malformed JSON', '{', 400, 'body', 'malformed-json'],
      ['a missing prompt', '{"model":"summaries"}', 400, 'prompt', 'invalid-body'],
      ['a field of the wrong kind', '{"model":"summaries","prompt":"a","max_tokens":"many"}', 400, 'max_tokens', 'invalid-body'],
      ['an unknown field', '{"model":"summaries","prompt":"a","customer":"clinic"}', 400, 'customer', 'invalid-body'],
      ['an unknown service', '{"model":"none","prompt":"a"}', 404, 'model', 'unknown-service'],
      ['a body that is too large', JSON.stringify({ model: 'summaries', prompt: 'x'.repeat(9_000_000) }), 413, 'body', 'body-too-large']
    ])('answers %s with a problem that names the field', async (_name, body, status, field, reason) => {
      const answer = await post(body)
      expect(answer.status).toBe(status)
      expect(answer.problem).toMatchObject({ field, run: 'not-run', type: `urn:eelgrassmux:problem:${reason}` })
    })

    it('refuses a wrong credential', async () => {
      const answer = await post('{"model":"summaries","prompt":"a"}', { authorization: 'Bearer wrong' })
      expect(answer).toMatchObject({ status: 401, problem: { field: 'Authorization', run: 'not-run' } })
    })

    it('asks for a key where calls may run once only', async () => {
      const response = await request(`${cluster.entryUrl(0)}/services/accounts/deposits`, {
        method: 'POST', headers: { authorization: `Bearer ${WARD.credential}` }, body: '{}'
      })
      expect(response.statusCode).toBe(400)
      expect(await response.body.json()).toMatchObject({ field: 'Idempotency-Key', run: 'not-run' })
    })

    it('refuses the same key with another body', async () => {
      await postOnce(cluster.entryUrl(0), WARD.credential, 'accounts/deposits', { cents: 1 }, 'reused')
      const other = await postOnce(cluster.entryUrl(1), WARD.credential, 'accounts/deposits', { cents: 2 }, 'reused')
      expect(other.status).toBe(422)
      expect(await executions({ cents: 2 })).toBe(0)
    })
  })

  describe('runs', () => {
    it('go on after a lost connection, through another entry host, for their customer only', async () => {
      const text = prompt('a lost connection')
      const connectionAbort = new AbortController()
      const first = streamCompletion(call(0, text), connectionAbort.signal)
      await sleep(400)
      connectionAbort.abort()
      const part = await first
      expect(part.isDone).toBe(false)
      expect(part.tokens).toBeGreaterThan(0)
      const otherCustomer = await resumeCompletion(cluster.entryUrl(1), CLINIC.credential, part.runId, part.tokens)
      expect(otherCustomer.status).toBe(404)
      const rest = await resumeCompletion(cluster.entryUrl(1), WARD.credential, part.runId, part.tokens)
      expect(isExpectedAnswer({ ...rest, text: part.text + rest.text, version: part.version }, text, 40)).toBe(true)
    })

    it('are whole although their engine is killed in the middle', async () => {
      const texts = Array.from({ length: 9 }, (_, index) => prompt(`a killed engine ${index}`))
      const answers = texts.map(async (text, index) => await streamCompletion(call(index % 3, text)))
      await sleep(400)
      const engine = member(cluster.engines, 0)
      await engine.process.kill()
      const whole = (await Promise.all(answers)).map((answer, index) => isExpectedAnswer(answer, texts[index] ?? '', 40))
      await cluster.restart(engine)
      expect(whole).toEqual(texts.map(() => true))
    })

    it('end at once and free the engine when the caller does not come back', async () => {
      const connectionAbort = new AbortController()
      const first = streamCompletion(call(0, prompt('a caller that leaves'), 2000), connectionAbort.signal)
      await sleep(400)
      connectionAbort.abort()
      await first
      await waitUntil(async () => await cluster.metric(member(cluster.entries, 0), 'eelgrassmux_runs_under_way') === 0)
    })
  })

  describe('control hosts', () => {
    it('keep accepting after kill -9 of the leader, and lose nothing', async () => {
      const killed = await leader()
      const before = await cluster.command(['show'])
      await killed.process.kill()
      const applied = await cluster.applyAll([{ ...TMTS_PROFILE, hedgeAfterMs: 5000 }])
      expect(applied.stdout).toContain('accepted as revision')
      await cluster.restart(killed)
      const after = await cluster.command(['show'])
      expect(after.stdout).toContain('hedgeAfterMs: 5000')
      expect(before.stdout).toContain('hedgeAfterMs: 0')
    })

    it('take a host with a deleted data folder back as a new member', async () => {
      const index = 2
      const lost = member(cluster.controls, index)
      const oldId = lost.addresses.replicaId ?? ''
      await lost.process.kill()
      await rm(join(cluster.folder, `control-${index}`), { recursive: true })
      await cluster.restart(lost)
      expect(lost.addresses.replicaId).not.toBe(oldId)
      await waitUntil(async () => {
        const { stdout } = await cluster.command(['members'])
        return stdout.includes(`voter ${lost.addresses.replicaId ?? ''}`) && !stdout.includes(oldId)
      })
      // Loses a second host right after the first one is replaced.
      const second = member(cluster.controls, 0)
      await second.process.kill()
      const shown = await cluster.command(['show'])
      expect(shown.stdout).toContain('name: tmts')
      const applied = await cluster.applyAll([{ ...TMTS_PROFILE, priority: 7 }])
      expect(applied.code).toBe(0)
      await cluster.restart(second)
    })

    it('let an entry host that was stopped past its lease refuse new work until it has caught up', async () => {
      const stopped = member(cluster.entries, 2)
      stopped.process.signal('SIGSTOP')
      const applied = await cluster.command(['show'])
      expect(applied.code).toBe(0)
      await sleep(3500)
      await cluster.applyAll([{ ...TMTS_PROFILE, priority: 8 }])
      stopped.process.signal('SIGCONT')
      const first = await streamCompletion(call(2, prompt('a stopped host'), 4))
      if (first.status !== 200) expect(first.problem).toMatchObject({ type: 'urn:eelgrassmux:problem:configuration-stale', run: 'not-run' })
      await waitUntil(async () => (await streamCompletion(call(2, prompt('a stopped host'), 4))).isDone)
      const revisions = await Promise.all(cluster.entries.map(async entry => await cluster.metric(entry, 'eelgrassmux_configuration_revision')))
      expect(new Set(revisions).size).toBe(1)
    })

    it('let one of two operators under equal numbers win, and recognise a resend', async () => {
      const { writeFile } = await import('node:fs/promises')
      const file = join(cluster.folder, 'race.yaml')
      await writeFile(file, JSON.stringify({ ...TMTS_PROFILE, priority: 2 }))
      const revision = /revision (\d+)/.exec((await cluster.command(['show'])).stdout)?.[1] ?? ''
      const racers = await Promise.all(['one', 'two'].map(async id =>
        await cluster.command(['apply', file, '--expected-revision', revision, '--request-id', id])))
      expect(racers.map(racer => racer.code).sort()).toEqual([0, 1])
      const winner = racers[0]?.code === 0 ? 'one' : 'two'
      const resend = await cluster.command(['apply', file, '--expected-revision', revision, '--request-id', winner])
      expect(resend.stdout).toBe(racers.find(racer => racer.code === 0)?.stdout)
    })
  })

  describe('calls that may run once', () => {
    it('run once although the entry host is killed in the middle', async () => {
      const keys = Array.from({ length: 12 }, (_, index) => `killed-${index}`)
      const send = async (entry: number, key: string): Promise<{ status: number }> =>
        await postOnce(cluster.entryUrl(entry), WARD.credential, 'accounts/deposits', { key }, key)
      const first = keys.map(async key => await send(0, key).catch(() => ({ status: 0 })))
      await sleep(8)
      const killed = member(cluster.entries, 0)
      await killed.process.kill()
      await Promise.all(first)
      const repeats = await Promise.all(keys.map(async key => await send(1, key)))
      await cluster.restart(killed)
      await cluster.waitUntilReady()
      for (const key of keys) expect(await executions({ key })).toBeLessThanOrEqual(1)
      expect(repeats.every(({ status }) => status === 200 || status === 409)).toBe(true)
    })

    it('meet a stored answer on every host', async () => {
      const answers = await Promise.all([0, 1, 2, 0, 1, 2].map(async entry =>
        await postOnce(cluster.entryUrl(entry), WARD.credential, 'accounts/deposits', { together: true }, 'together')))
      expect(await executions({ together: true })).toBe(1)
      const final = await postOnce(cluster.entryUrl(2), WARD.credential, 'accounts/deposits', { together: true }, 'together')
      expect(final).toMatchObject({ status: 200, isRepeat: true })
      expect(answers.filter(answer => answer.status === 200).every(answer => answer.body === final.body)).toBe(true)
    })
  })

  describe('orders', () => {
    it('bring all engines to a new version, at most two at once, without mixing versions', async () => {
      const trafficAbort = new AbortController()
      const answers: Array<{ text: string, answer: StreamedAnswer }> = []
      const traffic = [0, 1, 2].map(async entry => {
        for (let turn = 0; !trafficAbort.signal.aborted; turn += 1) {
          const text = prompt(`rollout ${entry} ${turn}`)
          answers.push({ text, answer: await streamCompletion(call(entry, text, 8)) })
        }
      })
      await cluster.applyAll([{ kind: 'model', name: 'base', version: 'v2', servingFloor: 1 }])
      await waitUntil(async () => !(await cluster.command(['orders'])).stdout.includes('runs v1'))
      trafficAbort.abort()
      await Promise.all(traffic)
      const versions = new Set(answers.map(({ answer }) => answer.version))
      expect(answers.filter(({ text, answer }) => !isExpectedAnswer(answer, text, 8))).toEqual([])
      expect([...versions].sort()).toEqual(['v1', 'v2'])
      const { most } = await (await request(`http://${cluster.weights?.addresses.http ?? ''}/standin/most`)).body.json() as { most: number }
      expect(most).toBeLessThanOrEqual(2)
    })
  })

  describe('planned stops', () => {
    it('cut off no stream in a rolling restart of every entry host', async () => {
      const trafficAbort = new AbortController()
      let wholeAnswers = 0
      const brokenAnswers: StreamedAnswer[] = []
      const ready = (entry: ClusterMember): Promise<boolean> =>
        request(`http://${entry.addresses.admin}/readyz`).then(response => response.statusCode === 200, () => false)
      const callers = Array.from({ length: 12 }, async (_, caller) => {
        for (let turn = 0; !trafficAbort.signal.aborted; turn += 1) {
          // Sends new work only to hosts that are ready, as the balancer does.
          const states = await Promise.all(cluster.entries.map(ready))
          const targets = states.flatMap((isReady, index) => isReady ? [index] : [])
          const target = targets[(caller + turn) % targets.length] ?? 0
          const text = prompt(`rolling ${caller} ${turn}`)
          const answer = await streamCompletion(call(target, text, 30))
          if (isExpectedAnswer(answer, text, 30)) wholeAnswers += 1
          else brokenAnswers.push(answer)
        }
      })
      for (const entry of cluster.entries) {
        await sleep(500)
        expect(await entry.process.stop()).toBe(0)
        await cluster.restart(entry)
        await waitUntil(async () => await ready(entry))
      }
      trafficAbort.abort()
      await Promise.all(callers)
      expect(brokenAnswers).toEqual([])
      expect(wholeAnswers).toBeGreaterThan(0)
    })

    it('hand shards and leadership over, and end with 0', async () => {
      const stopped = await leader()
      expect(await stopped.process.stop()).toBe(0)
      const next = await leader()
      expect(next).not.toBe(stopped)
      await cluster.restart(stopped)
      const directory = member(cluster.directories, 0)
      expect(await directory.process.stop()).toBe(0)
      expect(await cluster.metric(member(cluster.directories, 1), 'eelgrassmux_directory_shards')).toBe(8)
      await cluster.restart(directory)
    })
  })
})
