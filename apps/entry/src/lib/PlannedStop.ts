/**
 * The planned stop of an entry host, from its signal to the end of its last work.
 *
 * Callers and the balancer learn of it late, so the host goes on serving what it can
 * finish while it sends its callers elsewhere, and ends as soon as its work has.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { admitWhileStopping } from '@eelgrassmux/policy/limits/admitWhileStopping'
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
  /** Closes connections on which no request is under way. */
  closeIdleConnections (): void
  /** Logs what is under way, so that work that is cut later can be told by its ids. */
  logUnderWay (): void
  /** Ends what is under way, each request with the truest answer that can still be given. */
  cutUnderWay (): void
}

/** What is known of a request that comes while the host is stopping. */
export interface StoppingRequest {
  /** Milliseconds until its own time is over, by its route or its caller. */
  readonly longestMs: number
  /** Milliseconds that it will probably take, if known. */
  readonly expectedMs: number | undefined
}

/** Quiet that says that callers have moved to other hosts, in milliseconds. */
const QUIET_MS = 400

/** Longest wait for that quiet, beyond the balancer's lag, in milliseconds. */
const QUIET_WAIT_MS = 2500

/** Interval between looks for it, in milliseconds. */
const QUIET_LOOK_MS = 50

/** Time before the kill at which the host ends what is left by itself, in milliseconds: enough to write answers and log lines, which a killed process can't. */
const LAST_WORDS_MS = 200

/** One planned stop; does nothing until it begins. */
export class PlannedStop {
  #signalledAt: number | undefined
  #balancerKnows = false

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
   * @param request - a request that would begin now
   * @returns whether this host can take it; always true before the signal
   */
  admits ({ longestMs, expectedMs }: StoppingRequest): boolean {
    if (!this.isStopping) return true
    return admitWhileStopping({ leftMs: this.#leftMs, longestMs, expectedMs, balancerKnows: this.#balancerKnows })
  }

  /**
   * Called once the balancer has noticed.
   *
   * @param edge - the callers' side
   * @returns once no work is under way and none will begin
   */
  async drain (edge: StoppingEdge): Promise<void> {
    this.#balancerKnows = true
    const toldAt = performance.now()
    this.#log('balancer-told')
    edge.closeIdleConnections()
    const lastWords = setTimeout(() => { this.#cut(edge) }, Math.max(0, this.#leftMs - LAST_WORDS_MS))
    // While earlier work keeps the process, it may as well serve whoever still comes.
    await this.work.whenPresentEnds()
    await this.#whenQuiet(edge, toldAt)
    this.work.close()
    this.#log('gate-closed')
    edge.logUnderWay()
    await this.work.whenIdle()
    clearTimeout(lastWords)
    this.#log('work-ended')
  }

  get #leftMs (): number { return this.terms.graceMs - this.sinceSignalMs }

  async #whenQuiet (edge: StoppingEdge, toldAt: number): Promise<void> {
    while (!this.work.isClosed) {
      const now = performance.now()
      if (now - toldAt >= QUIET_WAIT_MS || now - Math.max(edge.lastRequestAt, toldAt) >= QUIET_MS) return
      await sleep(QUIET_LOOK_MS)
    }
  }

  #cut (edge: StoppingEdge): void {
    this.#log('grace-over')
    this.work.close()
    edge.cutUnderWay()
  }

  #log (step: string): void {
    const { balancerLagMs, graceMs } = this.terms
    this.telemetry.stateChanged('stop-step', { step, underWay: this.work.underWay, sinceSignalMs: Math.round(this.sinceSignalMs), balancerLagMs, graceMs })
  }
}
