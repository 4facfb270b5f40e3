/**
 * The planned stop of an entry host, from its signal to the end of its last work.
 *
 * Callers and the balancer learn of it late, so the host goes on serving what it can
 * finish while it sends its callers elsewhere, and ends as soon as its work has.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { admitDuringShutdown } from '@eelgrassmux/policy/limits/admitDuringShutdown'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** What a stop may take. */
export interface StopTerms {
  /** Time for which the balancer may send new work after readiness is withdrawn, in milliseconds. */
  readonly balancerLagMs: number
  /** Time from the signal until the process is killed, in milliseconds. */
  readonly graceMs: number
}

/** The callers' side of a host that stops. */
export interface CallerEdge {
  /** Monotonic milliseconds at which the last request arrived. */
  readonly lastRequestAt: number
  /** Lets requests go that wait for what the host has still to learn. */
  releaseWaiting (): void
  /** Closes connections on which no request is under way. */
  closeIdleConnections (): void
  /** Logs what is under way, so that work that is cut later can be told by its ids. */
  logUnderWay (): void
  /** Ends what is under way, each request with the truest answer that can still be given. */
  cutUnderWay (): void
}

/** What is known of a request that comes while the host is stopping. */
export interface RequestTime {
  /** Milliseconds until its own time is over, by its route or its caller. */
  readonly remainingMs: number
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
const CUT_BEFORE_KILL_MS = 200

/** Time in which the answers of the cut can be written, in milliseconds; a caller who reads more slowly has had its time. */
const CUT_WRITE_MS = 80

/** Share of the grace period that the balancer's lag may take, where the period is short. */
const LAG_SHARE = 0.5

/** One planned stop; does nothing until it begins. */
export class GracefulShutdown {
  #signalledAt: number | undefined
  #cutTimer: NodeJS.Timeout | undefined
  #endCut: () => void = () => {}
  readonly #lagMs: number

  /**
   * @param work - gate of all work
   * @param terms - what the stop may take
   * @param telemetry - log
   */
  constructor (
    private readonly work: WorkGate,
    private readonly terms: StopTerms,
    private readonly telemetry: Telemetry
  ) {
    this.#lagMs = Math.min(terms.balancerLagMs, terms.graceMs * LAG_SHARE)
  }

  /** Whether the signal has come. */
  get isStopping (): boolean { return this.#signalledAt !== undefined }

  /** Milliseconds since the signal; 0 before it. */
  get sinceSignalMs (): number {
    return this.#signalledAt === undefined ? 0 : performance.now() - this.#signalledAt
  }

  /**
   * Begins the stop, before the balancer has noticed.
   *
   * @param signalledAt - monotonic milliseconds of the signal
   * @param edge - the callers' side
   */
  begin (signalledAt: number, edge: CallerEdge): void {
    this.#signalledAt = signalledAt
    this.#log('signalled')
    edge.releaseWaiting()
    this.#cutTimer = setTimeout(() => { this.#cut(edge) }, Math.max(0, this.#leftMs - CUT_BEFORE_KILL_MS))
  }

  /**
   * @param request - a request that would begin now
   * @returns whether this host can take it; always true before the signal
   */
  admits ({ remainingMs, expectedMs }: RequestTime): boolean {
    if (!this.isStopping) return true
    return admitDuringShutdown({ timeToKillMs: this.#leftMs, remainingMs, expectedMs, hasBalancerLagElapsed: this.sinceSignalMs >= this.#lagMs })
  }

  /**
   * Sees a stop that has begun through to its end.
   *
   * @param edge - the callers' side
   * @returns once no work is under way and none will begin
   */
  async drain (edge: CallerEdge): Promise<void> {
    const cut = new Promise<void>(resolve => { this.#endCut = resolve })
    await Promise.race([this.#finish(edge), cut])
    clearTimeout(this.#cutTimer)
    this.#log('ended')
  }

  get #leftMs (): number { return this.terms.graceMs - this.sinceSignalMs }

  async #finish (edge: CallerEdge): Promise<void> {
    await sleep(Math.max(0, this.#lagMs - this.sinceSignalMs))
    this.#log('balancer-lag-over')
    // Not now: the process may have been held up since.
    const lagOverAt = performance.now() - this.sinceSignalMs + this.#lagMs
    edge.closeIdleConnections()
    // While earlier work keeps the process, it may as well serve whoever still comes.
    await this.work.whenPresentEnds()
    await this.#whenQuiet(edge, lagOverAt)
    this.work.close()
    this.#log('gate-closed')
    edge.logUnderWay()
    await this.work.whenIdle()
  }

  async #whenQuiet (edge: CallerEdge, lagOverAt: number): Promise<void> {
    while (!this.work.isClosed) {
      const now = performance.now()
      if (now - lagOverAt >= QUIET_WAIT_MS || now - Math.max(edge.lastRequestAt, lagOverAt) >= QUIET_MS) return
      await sleep(QUIET_LOOK_MS)
    }
  }

  #cut (edge: CallerEdge): void {
    this.#log('cut')
    this.work.close()
    edge.cutUnderWay()
    setTimeout(() => { this.#endCut() }, CUT_WRITE_MS)
  }

  #log (step: string): void {
    this.telemetry.stateChanged('stop-step', {
      step, underWay: this.work.underWay, sinceSignalMs: Math.round(this.sinceSignalMs), balancerLagMs: this.#lagMs, graceMs: this.terms.graceMs
    })
  }
}
