/** Admits runs, keeps them for callers that reconnect, and cancels runs that nobody reads. */
import type { WorkGate, WorkTicket } from '@eelgrassmux/daemon/WorkGate'
import { RetryBudget } from '@eelgrassmux/policy/limits/RetryBudget'
import { RouteDurations } from '@eelgrassmux/routing/admission/RouteDurations'
import { createRunId, RunRegistry } from '@eelgrassmux/runs/RunRegistry'
import { refuse, type Refusal } from '@eelgrassmux/schema/Refusal'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { refuseWhileStopping } from '../callers/refuseWhileStopping.js'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { CallGuard, CallQuarantine } from '../quarantine/CallQuarantine.js'
import type { AdmissionGate } from './AdmissionGate.js'
import { Run } from './Run.js'
import { heldTokens } from './heldTokens.js'
import { RunTask, type RunPorts, type RunRequest } from './RunTask.js'

/** Settings of the run manager. */
export interface RunManagerSettings {
  /** Address of this host for its peers; part of each run id. */
  readonly peerAddress: string
  /** How long a run continues, or is kept, without a reader, in milliseconds. */
  readonly resumeGraceMs: number
  /** Records the time to the first token. */
  readonly firstToken: (milliseconds: number) => void
}

interface ManagedRun {
  readonly customer: string
  readonly run: Run
  readonly task: RunTask
  /** Makes a graceful shutdown wait until the answer was read to its end or is no longer kept. */
  readonly ticket: WorkTicket
}

const SWEEP_INTERVAL_MS = 250

/** Longest time to the first token that is recorded, in milliseconds. */
const MAX_FIRST_TOKEN_MS = 120_000

/** Owns all runs of this host. */
export class RunManager {
  readonly #runs = new RunRegistry<ManagedRun>()
  readonly #budgets = new Map<string, RetryBudget>()
  readonly #durations = new RouteDurations()
  readonly #sweeper: NodeJS.Timeout
  #meanRequestTokens = 0
  #underWay = 0

  /**
   * @param settings - address of this host, limits and metric
   * @param gate - admission gate
   * @param work - tracks the work that a graceful shutdown waits for
   * @param shutdown - graceful shutdown of this host
   * @param quarantine - quarantine of requests that crash engines
   * @param ports - dependencies of runs, except the retry budget, which exists per service, and the guard, which exists per run
   */
  constructor (
    private readonly settings: RunManagerSettings,
    private readonly gate: AdmissionGate,
    private readonly work: WorkGate,
    private readonly shutdown: GracefulShutdown,
    private readonly quarantine: CallQuarantine,
    private readonly ports: Omit<RunPorts, 'budget' | 'guard'>
  ) {
    this.#sweeper = setInterval(() => { this.#sweep() }, SWEEP_INTERVAL_MS)
  }

  /** Runs that have not ended. */
  get underWay (): number { return this.#underWay }
  /** Runs that are kept, including ended ones. */
  get kept (): number { return this.#runs.size }
  /** Moving average of the tokens that a request holds. */
  get meanRequestTokens (): number { return this.#meanRequestTokens }

  /**
   * Admits a request and starts its run.
   *
   * @param service - service name, which selects the retry budget
   * @param request - request of the caller
   * @param disconnected - aborted when the caller disconnects
   * @returns the run, or the refusal if it was not admitted
   */
  async start (service: string, request: RunRequest, disconnected: AbortSignal): Promise<Result<Run, Refusal>> {
    const run = new Run(createRunId(this.settings.peerAddress), request.customer.name, this.ports.clock)
    const guard = this.#guard(service, request)
    const quarantined = guard.refusal()
    if (quarantined !== undefined) return fail(refuse(quarantined, run.dispatch))
    const tokens = heldTokens(request)
    this.#meanRequestTokens += (tokens - this.#meanRequestTokens) * (this.#meanRequestTokens === 0 ? 1 : 0.05)
    const decision = await this.gate.request({
      id: run.id,
      customer: request.customer.name,
      share: request.customer.share,
      tokens,
      waitLimitMs: request.profile.firstTokenLimitMs
    }, disconnected)
    if (decision.kind === 'refused') {
      return fail(refuse({
        reason: decision.reason,
        status: decision.reason === 'over-share' ? 429 : 503,
        detail: decision.reason === 'over-share' ? 'the customer is over its share while others wait' : 'the request could not start in time',
        retryAfterSeconds: Math.max(1, Math.ceil(decision.retryAfterMs / 1000 * (1 + Math.random() / 2)))
      }, run.dispatch))
    }
    // Checked after the wait, because the shutdown may have begun while the run was queued.
    const { maxTokens } = request
    const refusal = refuseWhileStopping(this.shutdown, { remainingMs: request.profile.deadlineMs, expectedMs: this.#durations.expectedMs(service, maxTokens) })
    if (refusal !== undefined) {
      this.gate.release(run.id)
      return fail(refusal)
    }
    const task = new RunTask(run, request, { ...this.ports, budget: this.#budget(service), guard })
    this.#runs.add(run.id, { customer: request.customer.name, run, task, ticket: this.work.beginFollowUp() })
    this.#underWay += 1
    void this.#observeFirstToken(run)
    void task.execute().finally(() => {
      this.#underWay -= 1
      if (run.end?.kind === 'complete') this.#durations.record(service, 0, this.ports.clock.now() - run.startedAt, maxTokens)
      this.gate.release(run.id)
    })
    return succeed(run)
  }

  /**
   * @param id - run id
   * @param customer - name of the authenticated customer
   * @returns the run, if this host holds it and it belongs to the customer
   */
  find (id: string, customer: string): Run | undefined {
    return this.#runs.find(id, customer)?.run
  }

  /**
   * Logs the runs that have not ended.
   *
   * @param log - called with the id of each run
   */
  logUnderWay (log: (runId: string) => void): void {
    for (const { run } of this.#runs.values()) {
      if (run.end === undefined) log(run.id)
    }
  }

  stop (): void {
    clearInterval(this.#sweeper)
  }

  async #observeFirstToken (run: Run): Promise<void> {
    await run.waitForStart(AbortSignal.timeout(MAX_FIRST_TOKEN_MS))
    if (run.length > 0) this.settings.firstToken(this.ports.clock.now() - run.startedAt)
  }

  #sweep (): void {
    const now = this.ports.clock.now()
    for (const { run, task, ticket } of this.#runs.values()) {
      if (run.wasReadToEnd) ticket.end()
      if (run.unreadMs(now) < this.settings.resumeGraceMs) continue
      if (run.end === undefined) {
        task.cancel()
        continue
      }
      ticket.end()
      this.#runs.remove(run.id)
    }
  }

  #guard (service: string, { customer, prompt, maxTokens }: RunRequest): CallGuard {
    const identity = { customer: customer.name, method: 'POST', target: `/v1/completions/${service}/${maxTokens}`, body: Buffer.from(prompt) }
    return this.quarantine.guard(service, this.ports.fleet.engineTable, identity)
  }

  #budget (service: string): RetryBudget {
    const present = this.#budgets.get(service)
    if (present !== undefined) return present
    const budget = new RetryBudget()
    this.#budgets.set(service, budget)
    return budget
  }
}
