/**
 * Seen in a test: an answer of which the caller had a token was cut when the only other engine refused the rest even
 * once, as engines do while they load weights, though the caller's deadline was a minute away. Each
 * refusal counted as one of the attempts that the profile allows.
 */
import { describe, expect, it } from 'vitest'
import type { BackendError } from '@eelgrassmux/backends/BackendError'
import type { EngineBackend, RunStreamItem } from '@eelgrassmux/backends/EngineClient'
import type { RunMessage } from '@eelgrassmux/backends/engineProtocol'
import { EngineLoadTable } from '@eelgrassmux/policy/health/EngineLoadTable'
import { EndpointTable } from '@eelgrassmux/policy/health/EndpointTable'
import { RetryBudget } from '@eelgrassmux/policy/limits/RetryBudget'
import type { Clock } from '@eelgrassmux/schema/Clock'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { Run } from './Run.js'
import { RunTask, type RunRequest } from './RunTask.js'
import type { PlacedRun } from './Placer.js'

const VERSION = 'v1'
const REFUSED: BackendError = { kind: 'not-started', reason: 'full' }
const LOST: BackendError = { kind: 'lost', detail: 'reset' }

/** A clock that a sleep moves on at once. */
class SteppedClock implements Clock {
  #now = 0
  now (): number { return this.#now }
  wallClock (): number { return this.#now }
  async sleep (milliseconds: number): Promise<void> { this.#now += milliseconds }
}

async function * streamOf (...items: RunStreamItem[]): AsyncGenerator<RunStreamItem> {
  yield * items
}

const token = (offset: number): RunStreamItem => succeed<RunMessage>({ kind: 'tokens', offset, tokens: [`t${offset}`], version: VERSION })
const end = (length: number): RunStreamItem => succeed<RunMessage>({ kind: 'end', length, finishReason: 'stop', version: VERSION, promptTokens: 1, cachedTokens: 0 })

/** Engines of which the first dies after a token, and the other refuses the rest so often before it takes it. */
class Engines {
  readonly clock = new SteppedClock()
  readonly run = new Run('run', 'ward', this.clock)
  asked = 0

  constructor (private readonly refusals: number) {}

  async execute (): Promise<void> {
    const counter = { count: () => {} }
    const task = new RunTask(this.run, request(), {
      clock: this.clock,
      fleet: { engineTable: new EndpointTable(), loads: new EngineLoadTable(), engine: name => this.#engine(name) },
      placer: { place: async ({ excluded }) => ['first', 'other'].filter(name => !excluded.has(name)).map(placed) },
      importer: { stage: async () => undefined },
      exporter: { exportIfWorthwhile: async () => {} },
      announceDispatch: () => {},
      budget: new RetryBudget(),
      guard: { refusal: () => undefined, noteLost: () => {}, noteWhole: () => {} } as unknown as ConstructorParameters<typeof RunTask>[2]['guard'],
      retries: counter,
      promptTokens: counter
    })
    await task.execute()
  }

  #engine (name: string): EngineBackend {
    const engine: Partial<EngineBackend> = {
      startRun: async () => name === 'first' ? this.#first() : this.#other(),
      resumeRun: async () => fail(LOST),
      cancelRun: async () => {}
    }
    return engine as EngineBackend
  }

  #first (): Result<AsyncGenerator<RunStreamItem>, BackendError> {
    return this.run.length > 0 ? fail({ kind: 'connect-failed' }) : succeed(streamOf(token(0), fail(LOST)))
  }

  #other (): Result<AsyncGenerator<RunStreamItem>, BackendError> {
    this.asked += 1
    return this.asked <= this.refusals ? fail(REFUSED) : succeed(streamOf(token(1), end(2)))
  }
}

function placed (name: string): PlacedRun {
  const engine = { name, dataCentre: 'n', version: VERSION, residentBlocks: 0, queuedTokens: 0, running: 0, maxRunning: 1, meanRunMs: 1, prefillTokensPerMs: 1 }
  return { salt: '', keys: [], stored: [], placement: { engine, imports: [], reusedBlocks: 0, firstTokenMs: 1, importMs: 0, recomputedTokens: 0, linkBytes: 0, score: 0 } } as unknown as PlacedRun
}

function request (): RunRequest {
  return {
    customer: { kind: 'customer', name: 'ward', credentialSha256: 'a'.repeat(64), cacheSecret: 'secret of the ward', share: 1 },
    model: 'm',
    profile: { kind: 'profile', name: 'p', weights: { firstTokenMillisecond: 1, recomputedToken: 1, linkKilobyte: 1 }, deadlineMs: 60_000, firstTokenLimitMs: 1000, keep: 'never', returnChance: 0, expectedGapSeconds: 1, retries: 2, hedgeAfterMs: 0, priority: 5 },
    prompt: 'a prompt',
    maxTokens: 10
  }
}

describe('an answer whose engine has died after a token', () => {
  it.each([0, 1, 3, 5])('goes on at an engine that refuses the rest %i times first', async refusals => {
    const engines = new Engines(refusals)
    await engines.execute()
    expect(engines.run.end).toMatchObject({ kind: 'complete' })
    expect(engines.run.tokens).toEqual(['t0', 't1'])
  })

  it('ends after some seconds if no engine takes the rest, and asks none in a tight loop', async () => {
    const engines = new Engines(Number.POSITIVE_INFINITY)
    await engines.execute()
    expect(engines.run.end).toMatchObject({ kind: 'failed', refusal: { run: 'unknown' } })
    expect(engines.clock.now()).toBeLessThan(10_000)
    expect(engines.asked).toBeLessThanOrEqual(15)
  })
})
