/**
 * Runs on engines that lose, duplicate and reorder chunks, crash, reject runs
 * and change weight versions. Callers lose their connections and resume, and the
 * entry host goes through planned stops.
 */
import type { BackendError } from '@eelgrassmux/backends/BackendError'
import type { EngineBackend, RunStreamItem } from '@eelgrassmux/backends/EngineClient'
import type { RunMessage, RunRequest } from '@eelgrassmux/backends/engineProtocol'
import { blockKeys } from '@eelgrassmux/cache/blockKeys'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { Placer } from '@eelgrassmux/entry/runs/Placer'
import { Run } from '@eelgrassmux/entry/runs/Run'
import { NO_QUARANTINE } from '@eelgrassmux/entry/quarantine/CallQuarantine'
import { RunTask } from '@eelgrassmux/entry/runs/RunTask'
import { EndpointTable } from '@eelgrassmux/policy/health/EndpointTable'
import { EngineLoadTable } from '@eelgrassmux/policy/health/EngineLoadTable'
import { LinkTable } from '@eelgrassmux/policy/health/LinkTable'
import { RetryBudget } from '@eelgrassmux/policy/limits/RetryBudget'
import { createRunId, RunRegistry } from '@eelgrassmux/runs/RunRegistry'
import type { Customer, Profile } from '@eelgrassmux/schema/configuration'
import { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'

const MAX_EVENTS = 25_000
const DURATION_MS = 60_000
const ENGINES = 3
const PROMPTS = 4
const BLOCKS = 2
const ANSWER_TOKENS = 14

const CUSTOMERS: readonly Customer[] = ['ward', 'clinic'].map(name => ({
  kind: 'customer', name, credentialSha256: '0'.repeat(64), cacheSecret: `the secret of ${name}`, share: 1
}))

const PROFILE: Profile = {
  kind: 'profile',
  name: 'simulated',
  weights: { firstTokenMillisecond: 1, recomputedToken: 0.01, linkKilobyte: 0.001 },
  deadlineMs: 8000,
  firstTokenLimitMs: 5000,
  keep: 'never',
  returnChance: 0,
  expectedGapSeconds: 60,
  retries: 4,
  hedgeAfterMs: 120,
  priority: 1
}

interface CachedBlock {
  readonly customer: string
  readonly version: string
}

interface EngineRun {
  readonly request: RunRequest
  readonly version: string
  readonly incarnation: number
  isCancelled: boolean
}

/** An engine that records the customer and the weight version of each cached block. */
class SimulatedEngine implements EngineBackend {
  version = 'v1'
  incarnation = 1
  isUp = true
  readonly cache = new Map<string, CachedBlock>()
  readonly runs = new Map<string, EngineRun>()

  constructor (
    private readonly simulation: Simulation,
    readonly name: string,
    private readonly recorder: CheckRecorder,
    private readonly broken: PromiseName | undefined,
    private readonly customerOf: (run: string) => string,
    private readonly onStarted: (run: string) => void
  ) {}

  async startRun (request: RunRequest): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>> {
    await this.simulation.sleep(0.5 + this.simulation.random() * 5)
    if (!this.isUp) return fail({ kind: 'connect-failed' })
    if (request.expectedVersion !== this.version) return fail({ kind: 'not-started', reason: 'version-mismatch' })
    if (this.simulation.drawFault('loss', 0.05)) return fail({ kind: 'not-started', reason: 'full' })
    const run: EngineRun = { request, version: this.version, incarnation: this.incarnation, isCancelled: false }
    this.runs.set(request.run, run)
    this.onStarted(request.run)
    this.#useCache(request)
    if (this.simulation.drawFault('loss', 0.05)) return fail({ kind: 'lost', detail: 'the answer to the start was lost' })
    return succeed(this.#stream(run, request.produced.length))
  }

  async resumeRun (id: string, offset: number): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>> {
    await this.simulation.sleep(0.5 + this.simulation.random() * 5)
    const run = this.runs.get(id)
    if (!this.isUp || run === undefined || run.incarnation !== this.incarnation) return fail({ kind: 'rejected', status: 404, detail: 'unknown-run' })
    return succeed(this.#stream(run, offset))
  }

  async cancelRun (id: string): Promise<void> {
    const run = this.runs.get(id)
    if (run !== undefined) run.isCancelled = true
  }

  /** Kills the process; the cache and all runs are lost. */
  kill (): void {
    this.isUp = false
    this.incarnation += 1
    this.cache.clear()
    this.runs.clear()
    this.simulation.schedule(this.simulation.random() * 400, () => { this.isUp = true })
  }

  #useCache (request: RunRequest): void {
    const customer = this.customerOf(request.run)
    for (const key of this.#keys(request)) {
      const block = this.cache.get(key)
      if (block === undefined) {
        this.cache.set(key, { customer, version: this.version })
        continue
      }
      this.recorder.check('customers-apart', block.customer === customer, () => `a run of ${customer} read a block of ${block.customer}`)
      this.recorder.check('one-weight-version', block.version === this.version, () => `a run of ${this.version} read a block of ${block.version}`)
    }
  }

  /** The salt separates customers and versions; with a broken promise, the salt lacks the customer or the version. */
  #keys (request: RunRequest): string[] {
    switch (this.broken) {
      case 'customers-apart': return blockKeys(`salt of ${this.version}`, request.prompt)
      case 'one-weight-version': return blockKeys(`salt of ${this.customerOf(request.run)}`, request.prompt)
      default: return blockKeys(request.cacheSalt, request.prompt)
    }
  }

  async * #stream (run: EngineRun, from: number): AsyncGenerator<RunStreamItem> {
    const messages = this.#perturb(this.#messages(run, from))
    for (const message of messages) {
      await this.simulation.sleep(1 + this.simulation.random() * 8 + (this.simulation.drawFault('delay', 0.03) ? this.simulation.random() * 300 : 0))
      if (!this.isUp || run.incarnation !== this.incarnation || run.isCancelled || this.simulation.drawFault('loss', 0.02)) {
        yield fail({ kind: 'lost', detail: 'the stream broke' })
        return
      }
      yield succeed(message)
    }
  }

  #messages (run: EngineRun, from: number): RunMessage[] {
    const messages: RunMessage[] = []
    for (let offset = from; offset < run.request.maxTokens; offset += 1) {
      messages.push({ kind: 'tokens', offset, tokens: [tokenOf(run.request.prompt, run.version, offset)], version: run.version })
    }
    messages.push({ kind: 'end', length: run.request.maxTokens, finishReason: 'length', promptTokens: 1, cachedTokens: 0, version: run.version })
    return messages
  }

  /** Loses, duplicates and reorders chunks. If whole answers are broken, offsets are renumbered so that they hide this. */
  #perturb (messages: RunMessage[]): RunMessage[] {
    const result: RunMessage[] = []
    for (const message of messages) {
      if (message.kind === 'tokens' && this.simulation.drawFault('disorder', 0.03)) continue
      if (this.simulation.drawFault('disorder', 0.05)) result.splice(Math.max(0, result.length - 2), 0, message)
      else result.push(message)
      if (message.kind === 'tokens' && this.simulation.drawFault('disorder', 0.05)) result.push(message)
    }
    if (this.broken !== 'whole-answers') return result
    const first = messages[0]?.kind === 'tokens' ? messages[0].offset : 0
    return result.map((message, position) => message.kind === 'tokens' ? { ...message, offset: first + position } : message)
  }

  report = unsupported
  cacheEvents = unsupported
  cacheListing = unsupported
  stageImport = unsupported
  exportBlocks = unsupported
  sendOrder = unsupported
  async discardImport (): Promise<void> {}
}

async function unsupported (): Promise<never> {
  throw new Error('not supported by the simulated engine')
}

function tokenOf (prompt: string, version: string, offset: number): string {
  return ` ${prompt.slice(0, 12)}/${version}/${offset}`
}

/** Checks answers, weight versions, the separation of customers and planned stops. */
export class RunWorld implements World {
  readonly #engines = new Map<string, SimulatedEngine>()
  readonly #fleet = { engineTable: new EndpointTable(), loads: new EngineLoadTable(), links: new LinkTable(), engine: (name: string) => this.#engines.get(name) }
  readonly #registry = new RunRegistry<Run>()
  readonly #customerOfRun = new Map<string, string>()
  readonly #started = new Map<string, number>()
  readonly #configuration: ConfigurationIndex
  readonly #placer: Placer
  #gate = new WorkGate()
  #unfinishedRuns = new Set<string>()
  #nextVersion = 2

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {
    const names = Array.from({ length: ENGINES }, (_, index) => `engine-${index}`)
    for (const name of names) {
      this.#engines.set(name, new SimulatedEngine(simulation, name, recorder, broken,
        run => this.#customerOfRun.get(runIdOf(run)) ?? '',
        run => { this.#started.set(runIdOf(run), (this.#started.get(runIdOf(run)) ?? 0) + 1) }))
    }
    this.#configuration = new ConfigurationIndex(1, {
      documents: names.map(name => ({ kind: 'endpoint', type: 'engine', name, address: name, dataCentre: 'hall', model: 'base', honoursFencing: true }))
    })
    this.#fleet.engineTable.retain(new Set(names))
    const emptyLookup = { kind: 'found' as const, resident: [], stored: [] }
    this.#placer = new Placer(simulation, this.#fleet, { lookup: async () => succeed(emptyLookup) }, () => this.#configuration, 'eelgrassmux', NO_COUNTER)
  }

  async run (): Promise<void> {
    this.#reportLoop()
    this.#callerLoop()
    this.#faultLoop()
    await this.simulation.run({ events: MAX_EVENTS, until: DURATION_MS })
  }

  #reportLoop (): void {
    this.simulation.schedule(100, () => {
      this.#reportLoop()
      const now = this.simulation.now()
      for (const engine of this.#engines.values()) {
        if (!engine.isUp) continue
        this.#fleet.engineTable.observeReport(engine.name, { leaving: false, incarnation: engine.incarnation }, now)
        this.#fleet.loads.observe(engine.name, {
          version: engine.version, running: 0, maxRunning: 8, queuedTokens: 0, prefillTokensPerMs: 4, meanRunMs: 100, ageMs: 100, bytesPerToken: 1
        }, now)
      }
    })
  }

  #callerLoop (): void {
    this.simulation.schedule(5 + this.simulation.random() * 60, () => {
      this.#callerLoop()
      const ticket = this.#gate.tryBegin()
      if (ticket === undefined) return
      const customer = this.simulation.pickFrom(CUSTOMERS)
      const prompt = `prompt ${this.simulation.pick(PROMPTS)} ${'x'.repeat(BLOCKS * 256)}`
      const run = new Run(createRunId('entry'), customer.name, this.simulation)
      this.#registry.add(run.id, run)
      this.#customerOfRun.set(run.id, customer.name)
      this.#unfinishedRuns.add(run.id)
      const task = new RunTask(run, { customer, model: 'base', profile: PROFILE, prompt, maxTokens: ANSWER_TOKENS }, {
        clock: this.simulation,
        fleet: this.#fleet,
        placer: this.#placer,
        importer: { stage: async () => undefined },
        exporter: { exportIfWorthwhile: async () => {} },
        announceDispatch: () => {},
        budget: new RetryBudget(),
        guard: NO_QUARANTINE,
        retries: NO_COUNTER,
        promptTokens: NO_COUNTER
      })
      void task.execute()
      void this.#readToEnd(run, prompt).then(() => {
        this.#unfinishedRuns.delete(run.id)
        ticket.end()
      })
    })
  }

  /** Reads a whole answer as a caller that may lose its connection and resumes where it stopped. */
  async #readToEnd (run: Run, prompt: string): Promise<void> {
    const tokens: string[] = []
    for (;;) {
      const found = this.#registry.find(run.id, run.customer)
      const foundByOther = this.#registry.find(run.id, 'somebody-else')
      this.recorder.check('customers-apart', foundByOther === undefined, () => `${run.id} was given to another customer`)
      if (found === undefined) return
      const losesConnection = this.simulation.drawFault('cut', 0.2)
      const disconnectAt = losesConnection ? tokens.length + this.simulation.pick(ANSWER_TOKENS) : Number.POSITIVE_INFINITY
      const connection = new AbortController()
      for await (const piece of found.read(tokens.length, connection.signal)) {
        if (piece.kind === 'tokens') {
          this.recorder.check('whole-answers', piece.offset === tokens.length, () => `offset ${piece.offset} after ${tokens.length} tokens`)
          tokens.push(...piece.tokens)
          if (tokens.length >= disconnectAt) break
        } else if (piece.kind === 'complete') {
          this.#checkAnswer(run, prompt, tokens)
          return
        } else {
          const { refusal } = piece
          this.recorder.check('not-run-is-true', refusal.run !== 'not-run' || (this.#started.get(run.id) ?? 0) === 0, () => `${run.id} is said not to have run, but did`)
          return
        }
      }
      await this.simulation.sleep(this.simulation.random() * 100)
    }
  }

  #checkAnswer (run: Run, prompt: string, tokens: readonly string[]): void {
    const version = run.version ?? ''
    const expected = Array.from({ length: ANSWER_TOKENS }, (_, offset) => tokenOf(prompt, version, offset))
    const versions = new Set(tokens.map(token => token.split('/')[1]))
    this.recorder.check('one-weight-version', versions.size <= 1, () => `an answer mixes ${[...versions].join(' and ')}`)
    this.recorder.check('whole-answers', tokens.join() === expected.join(), () => `an answer is ${tokens.join('')}`)
  }

  #faultLoop (): void {
    this.simulation.schedule(50 + this.simulation.random() * 250, () => {
      this.#faultLoop()
      const engine = this.simulation.pickFrom([...this.#engines.values()])
      if (this.simulation.drawFault('kill', 0.15)) engine.kill()
      if (this.simulation.drawFault('swap', 0.15)) {
        // Engines may stay on the previous version for a while, as in the middle of a rollout.
        engine.version = `v${this.simulation.chance(0.5) ? this.#nextVersion : Math.max(1, this.#nextVersion - 1)}`
        if (this.simulation.chance(0.3)) this.#nextVersion += 1
        this.simulation.log(`${engine.name} runs ${engine.version}`)
      }
      if (this.simulation.drawFault('kill', 0.03)) void this.#plannedStop()
    })
  }

  /** Stops and restarts the entry host, as a rolling restart does. */
  async #plannedStop (): Promise<void> {
    if (this.#gate.isClosed) return
    const gate = this.#gate
    const runsAtStop = new Set(this.#unfinishedRuns)
    gate.close()
    this.recorder.check('graceful-stop', gate.tryBegin() === undefined, () => 'new work was taken while stopping')
    if (this.broken !== 'graceful-stop') await gate.whenIdle()
    const interrupted = [...runsAtStop].filter(run => this.#unfinishedRuns.has(run))
    this.recorder.check('graceful-stop', interrupted.length === 0, () => `the process ended with ${interrupted.length} answers unfinished`)
    this.#gate = new WorkGate()
  }
}

const NO_COUNTER = { count: (): void => {} }

/** Removes the attempt number that engines see as a suffix of the run id. */
function runIdOf (engineRun: string): string {
  return engineRun.replace(/-a\d+$/, '')
}
