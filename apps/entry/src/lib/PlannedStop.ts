/**
 * The planned stop of an entry host, from its signal to the end of its last work.
 *
 * Callers and the balancer learn of it late, so the host goes on serving while it
 * sends its callers elsewhere, and ends as soon as its work has.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** What a stop may take. */
export interface StopTerms {
  /** Time for which the balancer may send new work after readiness is withdrawn, in milliseconds. */
  readonly balancerLagMs: number
  /** Time from the signal until the process is killed, in milliseconds. */
  readonly graceMs: number
}

/** The callers' side of a host that stops. */
export interface StoppingEdge {
  /** Monotonic milliseconds at which the last request arrived. */
  readonly lastRequestAt: number
  /** From now on every answer is the last on its connection. */
  closeConnectionsAfterAnswers (): void
  /** Logs what is under way, so that work that is cut later can be told by its ids. */
  logUnderWay (): void
}

/** Quiet that says that callers have moved to other hosts, in milliseconds. */
const QUIET_MS = 400

/** Longest wait for that quiet, beyond the balancer's lag, in milliseconds: the rest of the platform's eight seconds is for requests under way. */
const QUIET_WAIT_MS = 2500

/** Interval between looks for it, in milliseconds. */
const QUIET_LOOK_MS = 50

/** One planned stop; does nothing until it begins. */
export class PlannedStop {
  #signalledAt: number | undefined

  /**
   * @param work - gate of all work
   * @param terms - what the stop may take
   * @param telemetry - log
   */
  constructor (
    private readonly work: WorkGate,
    private readonly terms: StopTerms,
    private readonly telemetry: Telemetry
  ) {}

  /** Whether the signal has come. */
  get isStopping (): boolean { return this.#signalledAt !== undefined }

  /** Milliseconds since the signal; 0 before it. */
  get sinceSignalMs (): number {
    return this.#signalledAt === undefined ? 0 : performance.now() - this.#signalledAt
  }

  /** Called at the signal, before the balancer has noticed. */
  begin (): void {
    this.#signalledAt = performance.now()
    this.#log('signalled')
  }

  /**
   * Called once the balancer has noticed.
   *
   * @param edge - the callers' side
   * @returns once no work is under way and none will begin
   */
  async drain (edge: StoppingEdge): Promise<void> {
    this.#log('balancer-told')
    edge.closeConnectionsAfterAnswers()
    // Whoever still comes is served: a refusal here would only send it round once more.
    const startedAt = performance.now()
    while (performance.now() - startedAt < QUIET_WAIT_MS && performance.now() - Math.max(edge.lastRequestAt, startedAt) < QUIET_MS) {
      await sleep(QUIET_LOOK_MS)
    }
    this.work.close()
    this.#log('gate-closed')
    edge.logUnderWay()
    await this.work.whenIdle()
    this.#log('work-ended')
  }

  #log (step: string): void {
    const { balancerLagMs, graceMs } = this.terms
    this.telemetry.stateChanged('stop-step', { step, underWay: this.work.underWay, sinceSignalMs: Math.round(this.sinceSignalMs), balancerLagMs, graceMs })
  }
}
