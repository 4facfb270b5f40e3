/**
 * Executes one run: places it, imports blocks, streams the answer, and resumes on
 * another engine when one fails. A model run has no side effects, so it may be
 * retried within the retry budget; delivered tokens are never sent again.
 */
import { isNotStarted, type BackendError } from '@eelgrassmux/backends/BackendError'
import type { RunStreamItem, EngineBackend } from '@eelgrassmux/backends/EngineClient'
import type { RunMessage } from '@eelgrassmux/backends/engineProtocol'
import type { RetryBudget, RetryReason } from '@eelgrassmux/policy/limits/RetryBudget'
import { AnswerAssembler } from '@eelgrassmux/runs/AnswerAssembler'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { Customer, Profile } from '@eelgrassmux/schema/configuration'
import { refuse, type RefusalDetails } from '@eelgrassmux/schema/Refusal'
import type { Result } from '@eelgrassmux/schema/Result'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { EngineLoadTable } from '@eelgrassmux/policy/health/EngineLoadTable'
import type { EndpointTable } from '@eelgrassmux/policy/health/EndpointTable'
import type { CallGuard } from '../quarantine/CallQuarantine.js'
import type { FinishedRun } from './Exporter.js'
import type { PlacedRun, PlaceRequest } from './Placer.js'
import { ResumptionRetryPolicy } from './ResumptionRetryPolicy.js'
import type { Run } from './Run.js'

/** Request of a caller. */
export interface RunRequest {
  readonly customer: Customer
  readonly model: string
  readonly profile: Profile
  readonly prompt: string
  readonly maxTokens: number
}

/** Engines with their state and load. */
export interface EngineFleet {
  readonly engineTable: EndpointTable
  readonly loads: EngineLoadTable
  engine (name: string): EngineBackend | undefined
}

/** Ranks the placements of a prompt. */
export interface RunPlacer {
  place (request: PlaceRequest): Promise<PlacedRun[]>
}

/** Imports stored blocks into an engine. */
export interface BlockImporter {
  stage (engine: EngineBackend, placed: PlacedRun, signal: AbortSignal): Promise<string | undefined>
}

/** Exports the blocks of finished runs. */
export interface BlockExporter {
  exportIfWorthwhile (run: FinishedRun): Promise<void>
}

/** Dependencies of a run. */
export interface RunPorts {
  readonly clock: Clock
  readonly fleet: EngineFleet
  readonly placer: RunPlacer
  readonly importer: BlockImporter
  readonly exporter: BlockExporter
  /** Notifies other entry hosts of a dispatch. */
  announceDispatch (engine: string, tokens: number): void
  readonly budget: RetryBudget
  /** Tells whether this request is quarantined because it crashed engines. */
  readonly guard: CallGuard
  readonly retries: LabelledCounter
  /** Counts prompt tokens by kind, `computed` or `reused`. */
  readonly promptTokens: LabelledCounter
}

/** Result of one attempt. */
type AttemptOutcome =
  | { readonly kind: 'complete', readonly end: Extract<RunMessage, { kind: 'end' }> }
  | { readonly kind: 'retry', readonly reason: RetryReason }
  /** The engine contradicted tokens that the caller already has, so the answer can't be completed. */
  | { readonly kind: 'contradiction' }

/** Stream that an engine has started. */
interface StartedStream {
  readonly placed: PlacedRun
  readonly engine: EngineBackend
  readonly engineRunId: string
  readonly items: AsyncGenerator<RunStreamItem>
  readonly abort: AbortController
  readonly startedAt: number
  first?: Promise<IteratorResult<RunStreamItem>>
}

/** Delay before the next placement when no engine is available, in milliseconds. */
const NO_ENGINE_RETRY_DELAY_MS = 100

/** Longest wait for an available engine, in milliseconds. */
const MAX_NO_ENGINE_WAIT_MS = 2000

/** Timeout for resuming a broken stream on its engine, in milliseconds. */
const RESUME_TIMEOUT_MS = 3000

/** Default retry delay told to callers when there is no better estimate. */
const RETRY_AFTER_SECONDS = 1

/** Executes one run. */
export class RunTask {
  readonly #abort = new AbortController()
  readonly #deadline: number
  readonly #resumptionRetries: ResumptionRetryPolicy
  readonly #excluded = new Set<string>()
  #assembler: AnswerAssembler | undefined
  #attempts = 0
  #lastRetry: RetryReason | undefined

  /**
   * @param run - run that receives the answer
   * @param request - request of the caller
   * @param ports - dependencies
   */
  constructor (private readonly run: Run, private readonly request: RunRequest, private readonly ports: RunPorts) {
    this.#deadline = run.startedAt + request.profile.deadlineMs
    this.#resumptionRetries = new ResumptionRetryPolicy(ports.clock)
  }

  /** Cancels the run and frees its engine. */
  cancel (): void {
    this.#abort.abort()
  }

  /** Executes the run to its end; failures of engines or the network never reject the promise. */
  async execute (): Promise<void> {
    this.ports.budget.recordRequest()
    for (;;) {
      const placed = await this.#place()
      if (placed === undefined) return
      const outcome = await this.#attempt(placed)
      if (outcome.kind === 'complete') {
        this.#complete(placed, outcome.end)
        return
      }
      if (outcome.kind === 'contradiction') {
        this.#fail({ reason: 'endpoint-failed', status: 502, detail: 'the engine contradicted its own answer', retryAfterSeconds: RETRY_AFTER_SECONDS })
        return
      }
      if (!this.#mayRetry(outcome.reason)) return
    }
  }

  // --- Placement ---

  async #place (): Promise<PlacedRun | undefined> {
    const waitDeadline = this.#hasTokens ? this.#resumptionRetries.deadline : this.ports.clock.now() + MAX_NO_ENGINE_WAIT_MS
    for (;;) {
      if (this.#abort.signal.aborted) return this.#fail({ reason: 'endpoint-failed', status: 499, detail: 'the caller left' })
      const quarantined = this.ports.guard.refusal()
      // 503 promises that nothing ran, so it is sent only if that is certain.
      if (quarantined !== undefined) return this.#fail({ ...quarantined, status: this.run.dispatch.mayHaveRun ? 502 : quarantined.status })
      if (this.ports.clock.now() >= this.#deadline) return this.#fail({ reason: 'deadline-passed', status: 504, detail: 'the deadline of the profile has passed' })
      const ranked = await this.ports.placer.place({
        customer: this.request.customer,
        model: this.request.model,
        profile: this.request.profile,
        text: this.#text(),
        version: this.run.version,
        excluded: this.#excluded
      })
      const best = ranked[0]
      if (best !== undefined) return this.#checkFirstTokenLimit(best)
      // Failed engines may have recovered, so they are tried again when no other engine is left.
      this.#excluded.clear()
      if (this.ports.clock.now() >= waitDeadline) {
        const detail = this.run.version === undefined ? 'no engine of the model can take the request' : `no engine runs version ${this.run.version} any more`
        return this.#fail({ reason: 'no-endpoint', status: 503, detail, retryAfterSeconds: RETRY_AFTER_SECONDS })
      }
      await this.ports.clock.sleep(this.#hasTokens ? this.#resumptionRetries.nextDelayMs() : NO_ENGINE_RETRY_DELAY_MS)
    }
  }

  get #hasTokens (): boolean { return this.run.length > 0 }

  #checkFirstTokenLimit (best: PlacedRun): PlacedRun | undefined {
    const { firstTokenLimitMs } = this.request.profile
    const excessMs = best.placement.firstTokenMs - firstTokenLimitMs
    if (excessMs <= 0 || this.run.length > 0) return best
    const detail = `the first token would take ${Math.round(best.placement.firstTokenMs)} ms; the profile allows ${firstTokenLimitMs} ms`
    return this.#fail({ reason: 'deadline-unreachable', status: 503, detail, retryAfterSeconds: secondsWithJitter(excessMs) })
  }

  // --- Attempts ---

  async #attempt (placed: PlacedRun): Promise<AttemptOutcome> {
    const { version } = placed.placement.engine
    if (this.#assembler?.version !== version) this.#assembler = new AnswerAssembler(version)
    const started = await this.#start(placed)
    if ('kind' in started) return started
    const stream = await this.#maybeHedge(started)
    return await this.#consume(stream, this.#assembler)
  }

  async #start (placed: PlacedRun): Promise<StartedStream | AttemptOutcome> {
    const { name } = placed.placement.engine
    this.#attempts += 1
    const engine = this.ports.fleet.engine(name)
    if (engine === undefined) return { kind: 'retry', reason: 'connect-failed' }
    this.ports.fleet.loads.recordDispatch(name, placed.placement.recomputedTokens, this.ports.clock.now())
    this.ports.announceDispatch(name, placed.placement.recomputedTokens)
    const importId = await this.ports.importer.stage(engine, placed, this.#abort.signal)
    const engineRun = `${this.run.id}-a${this.#attempts}`
    const abort = new AbortController()
    this.run.dispatch.markDispatched()
    const startedAt = this.ports.clock.now()
    const started = await engine.startRun({
      run: engineRun,
      prompt: this.request.prompt,
      maxTokens: this.request.maxTokens,
      priority: this.request.profile.priority,
      cacheSalt: placed.salt,
      expectedVersion: placed.placement.engine.version,
      produced: [...this.run.tokens],
      ...(importId === undefined ? {} : { importId })
    }, this.#remainingMs(), AbortSignal.any([abort.signal, this.#abort.signal]))
    if (!started.ok) return this.#startFailed(name, started.error, startedAt)
    return { placed, engine, engineRunId: engineRun, items: started.value, abort, startedAt }
  }

  #startFailed (engine: string, error: BackendError, startedAt: number): AttemptOutcome {
    if (isNotStarted(error)) this.run.dispatch.markNotStarted()
    else this.#noteLost(engine, startedAt)
    if (error.kind === 'not-started') {
      if (error.reason === 'leaving') this.ports.fleet.engineTable.observeLeaving(engine)
      if (error.retryAfterMs !== undefined) this.ports.fleet.engineTable.observePause(engine, error.retryAfterMs, this.ports.clock.now())
      // After an unknown import the same engine can still run the request by computing the blocks.
      if (error.reason !== 'unknown-import') this.#excluded.add(engine)
      return { kind: 'retry', reason: error.reason === 'version-mismatch' ? 'version-mismatch' : 'engine-refused' }
    }
    this.ports.fleet.engineTable.observeFailure(engine, this.ports.clock.now())
    this.#excluded.add(engine)
    return { kind: 'retry', reason: error.kind === 'connect-failed' ? 'connect-failed' : 'engine-lost' }
  }

  #noteLost (engine: string, startedAt: number): void {
    if (!this.#abort.signal.aborted) this.ports.guard.noteLost(engine, this.ports.clock.now() - startedAt)
  }

  /** Starts a second engine if the profile allows hedging and the first token is late; the slower stream is cancelled. */
  async #maybeHedge (primary: StartedStream): Promise<StartedStream> {
    const { hedgeAfterMs } = this.request.profile
    if (hedgeAfterMs === 0 || this.run.length > 0) return primary
    primary.first = primary.items.next()
    const timer = new AbortController()
    const isLate = await Promise.race([
      primary.first.then(() => false),
      this.ports.clock.sleep(hedgeAfterMs, timer.signal).then(() => !timer.signal.aborted)
    ])
    timer.abort()
    if (!isLate || !this.ports.budget.tryConsume()) return primary
    const ranked = await this.ports.placer.place({
      customer: this.request.customer,
      model: this.request.model,
      profile: this.request.profile,
      text: this.request.prompt,
      version: primary.placed.placement.engine.version,
      excluded: new Set([...this.#excluded, primary.placed.placement.engine.name])
    })
    const other = ranked[0]
    if (other === undefined) return primary
    this.ports.retries.count('hedge')
    const secondary = await this.#start(other)
    if ('kind' in secondary) return primary
    secondary.first = secondary.items.next()
    const winner = await Promise.race([primary.first.then(() => primary), secondary.first.then(() => secondary)])
    this.#cancelStream(winner === primary ? secondary : primary)
    return winner
  }

  #cancelStream (stream: StartedStream): void {
    stream.abort.abort()
    void stream.engine.cancelRun(stream.engineRunId)
  }

  async #consume (stream: StartedStream, assembler: AnswerAssembler): Promise<AttemptOutcome> {
    let current = stream
    for (;;) {
      const outcome = await this.#readItems(current, assembler)
      if (outcome !== 'broken') return outcome
      if (this.#abort.signal.aborted) {
        this.#cancelStream(current)
        return { kind: 'retry', reason: 'engine-lost' }
      }
      const resumed = await this.#resume(current, assembler.nextOffset)
      if (!resumed.ok) {
        this.#noteLost(current.placed.placement.engine.name, current.startedAt)
        this.#cancelStream(current)
        this.ports.fleet.engineTable.observeFailure(current.placed.placement.engine.name, this.ports.clock.now())
        this.#excluded.add(current.placed.placement.engine.name)
        return { kind: 'retry', reason: 'engine-lost' }
      }
      this.ports.retries.count('stream-gap')
      current = { ...current, items: resumed.value }
      delete current.first
    }
  }

  /** Reads until the answer is complete or the stream breaks. */
  async #readItems (stream: StartedStream, assembler: AnswerAssembler): Promise<AttemptOutcome | 'broken'> {
    const { name } = stream.placed.placement.engine
    let end: Extract<RunMessage, { kind: 'end' }> | undefined
    for (;;) {
      const next = await this.#nextItem(stream)
      if (next === 'stalled' || next.done === true || !next.value.ok) return 'broken'
      const message = next.value.value
      if (message.version !== assembler.version) {
        // Tokens of another weight version must never reach the caller.
        this.#cancelStream(stream)
        this.#excluded.add(name)
        return { kind: 'retry', reason: 'version-mismatch' }
      }
      if (message.kind === 'end') {
        if (!assembler.finish(message)) {
          this.#cancelStream(stream)
          this.ports.fleet.engineTable.observeFailure(name, this.ports.clock.now())
          return { kind: 'contradiction' }
        }
        end = message
      } else {
        const accepted = assembler.accept(message)
        if (accepted.kind === 'progress') {
          this.run.push(accepted.tokens, assembler.version)
          this.#resumptionRetries.noteTokens()
        }
        if (this.run.needsBackpressure) await this.run.waitForReaders(this.#abort.signal)
      }
      if (assembler.completed !== undefined && end !== undefined) {
        this.ports.fleet.engineTable.observeSuccess(name)
        return { kind: 'complete', end }
      }
    }
  }

  async #nextItem (stream: StartedStream): Promise<IteratorResult<RunStreamItem> | 'stalled'> {
    const pending = stream.first ?? stream.items.next()
    delete stream.first
    return await pending
  }

  async #resume (stream: StartedStream, offset: number): Promise<Result<AsyncGenerator<RunStreamItem>, BackendError>> {
    return await stream.engine.resumeRun(stream.engineRunId, offset, Math.min(RESUME_TIMEOUT_MS, this.#remainingMs()), this.#abort.signal)
  }

  // --- Completion ---

  #complete (placed: PlacedRun, end: Extract<RunMessage, { kind: 'end' }>): void {
    const cachedTokens = Math.min(end.cachedTokens, end.promptTokens)
    this.ports.promptTokens.count('computed', end.promptTokens - cachedTokens)
    this.ports.promptTokens.count('reused', cachedTokens)
    this.ports.guard.noteWhole()
    this.run.finish({ kind: 'complete', finishReason: end.finishReason, promptTokens: end.promptTokens, cachedTokens })
    void this.ports.exporter.exportIfWorthwhile({
      customer: this.request.customer,
      model: this.request.model,
      profile: this.request.profile,
      engine: placed.placement.engine.name,
      version: placed.placement.engine.version,
      text: this.#text()
    })
  }

  #mayRetry (reason: RetryReason): boolean {
    this.#lastRetry = reason
    const isSafe = reason === 'engine-refused' || reason === 'connect-failed' || reason === 'version-mismatch'
    // An engine that refused to resume the answer has not run it, and may accept it soon.
    if (isSafe && this.#hasTokens) this.#resumptionRetries.noteRefusal()
    const isWithinProfile = this.#attempts - this.#resumptionRetries.refusals <= this.request.profile.retries
    // Only retries of work that may already have run spend the budget; refusals by full or leaving engines cost nothing.
    if (isWithinProfile && (isSafe || this.ports.budget.tryConsume())) {
      this.ports.retries.count(reason)
      return true
    }
    const status = isSafe ? 503 : 502
    this.#fail({ reason: isSafe ? 'endpoint-refused' : 'endpoint-failed', status, detail: `the last attempt ended with ${reason}`, retryAfterSeconds: RETRY_AFTER_SECONDS })
    return false
  }

  #fail (details: RefusalDetails): undefined {
    const suffix = this.#lastRetry === undefined ? '' : `; last attempt: ${this.#lastRetry}`
    this.run.finish({ kind: 'failed', refusal: refuse({ ...details, detail: details.detail + suffix }, this.run.dispatch) })
    return undefined
  }

  #remainingMs (): number {
    return Math.max(1, this.#deadline - this.ports.clock.now())
  }

  #text (): string {
    return this.request.prompt + this.run.tokens.join('')
  }
}

/** Converts to seconds, with up to 50 % jitter that spreads the retries of refused callers. */
function secondsWithJitter (milliseconds: number): number {
  return Math.max(1, Math.ceil(milliseconds / 1000 * (1 + Math.random() / 2)))
}
