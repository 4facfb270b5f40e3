/** Admits runs, keeps them for callers that come back, and ends those nobody reads. */
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

/** Limits of the manager. Durations are in milliseconds. */
export interface RunManagerSettings {
  /** This host's address for its peers; part of each run id. */
  readonly peerAddress: string
  /** How long a run goes on, or is kept, while nobody reads it. */
  readonly resumeGraceMs: number
  /** Records the time to a first token, in milliseconds. */
  readonly firstToken: (milliseconds: number) => void
}

interface ManagedRun {
  readonly customer: string
  readonly run: Run
  readonly task: RunTask
  /** A planned stop waits until the answer was fetched, or its time for that is over. */
  readonly ticket: WorkTicket
}

/** Interval between sweeps of unread runs, in milliseconds. */
const SWEEP_MS = 250

/** Longest time to a first token that is recorded, in milliseconds. */
const FIRST_TOKEN_LIMIT_MS = 120_000

/** Owns all runs of this host. */
export class RunManager {
  readonly #runs = new RunRegistry<ManagedRun>()
  readonly #budgets = new Map<string, RetryBudget>()
  readonly #durations = new RouteDurations()
  readonly #sweeper: NodeJS.Timeout
  #requestTokens = 0
  #underWay = 0

  /**
   * @param settings - limits
   * @param gate - admission
   * @param work - what a planned stop waits for
   * @param plannedStop - the planned stop
   * @param quarantine - of requests that end engines
   * @param ports - what runs need, but for the budget, which is one for each service, and the guard, which is one for each run
   */
  constructor (
    private readonly settings: RunManagerSettings,
    private readonly gate: AdmissionGate,
    private readonly work: WorkGate,
    private readonly plannedStop: GracefulShutdown,
    private readonly quarantine: CallQuarantine,
    private readonly ports: Omit<RunPorts, 'budget' | 'guard'>
  ) {
    this.#sweeper = setInterval(() => { this.#sweep() }, SWEEP_MS)
  }

  /** Runs that have not ended. */
  get underWay (): number { return this.#underWay }
  /** Runs kept, ended ones included. */
  get kept (): number { return this.#runs.size }
  /** Mean tokens a request holds, lately. */
  get meanRequestTokens (): number { return this.#requestTokens }

  /**
   * Admits a request and starts its run.
   *
   * @param service - service name, for the retry budget
   * @param request - what was asked
   * @param gone - aborted when the caller has left
   * @returns the run, or why it was not admitted
   */
  async start (service: string, request: RunRequest, gone: AbortSignal): Promise<Result<Run, Refusal>> {
    const run = new Run(createRunId(this.settings.peerAddress), request.customer.name, this.ports.clock)
    const guard = this.#guard(service, request)
    const held = guard.refusal()
    if (held !== undefined) return fail(refuse(held, run.dispatch))
    const tokens = heldTokens(request)
    this.#requestTokens += (tokens - this.#requestTokens) * (this.#requestTokens === 0 ? 1 : 0.05)
    const decision = await this.gate.request({
      id: run.id,
      customer: request.customer.name,
      share: request.customer.share,
      tokens,
      waitLimitMs: request.profile.firstTokenLimitMs
    }, gone)
    if (decision.kind === 'refused') {
      return fail(refuse({
        reason: decision.reason,
        status: decision.reason === 'over-share' ? 429 : 503,
        detail: decision.reason === 'over-share' ? 'the customer is over its share while others wait' : 'the request could not start in time',
        retryAfterSeconds: Math.max(1, Math.ceil(decision.retryAfterMs / 1000 * (1 + Math.random() / 2)))
      }, run.dispatch))
    }
    // Asked after the wait: a run may have queued since before the stop.
    const { maxTokens } = request
    const refusal = refuseWhileStopping(this.plannedStop, { remainingMs: request.profile.deadlineMs, expectedMs: this.#durations.expectedMs(service, maxTokens) })
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
   * @param customer - customer of the credential that asks
   * @returns the run, if it is here and this customer's
   */
  find (id: string, customer: string): Run | undefined {
    return this.#runs.find(id, customer)?.run
  }

  /**
   * Logs what has not ended.
   *
   * @param log - takes the id of each run
   */
  logUnderWay (log: (runId: string) => void): void {
    for (const { run } of this.#runs.values()) {
      if (run.end === undefined) log(run.id)
    }
  }

  /** Stops the sweeper. */
  stop (): void {
    clearInterval(this.#sweeper)
  }

  async #observeFirstToken (run: Run): Promise<void> {
    await run.waitForStart(AbortSignal.timeout(FIRST_TOKEN_LIMIT_MS))
    if (run.length > 0) this.settings.firstToken(this.ports.clock.now() - run.startedAt)
  }

  #sweep (): void {
    const now = this.ports.clock.now()
    for (const { run, task, ticket } of this.#runs.values()) {
      if (run.wasReadToEnd) ticket.end()
      if (run.unreadFor(now) < this.settings.resumeGraceMs) continue
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
