/**
 * Graceful shutdown of an entry host, from the signal to the end of its last request.
 *
 * Callers and the balancer learn of the shutdown late. Until they have left, the host
 * serves every request that it can finish in time, and it exits once no work is left.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { admitDuringShutdown } from '@eelgrassmux/policy/limits/admitDuringShutdown'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Time limits of a shutdown. */
export interface ShutdownLimits {
  /** Time for which the balancer may still send new requests after readiness is withdrawn, in milliseconds. */
  readonly balancerLagMs: number
  /** Time from the signal until the process is killed, in milliseconds. */
  readonly graceMs: number
}

/** Server that a shutdown drains. */
export interface DrainableServer {
  /** Monotonic milliseconds at which the last request arrived. */
  readonly lastRequestAt: number
  /** Stops holding back requests that wait for data which the host loads at its start. */
  releaseWaiting (): void
  /** Closes connections on which no request is under way. */
  closeIdleConnections (): void
  /** Logs the requests in flight, so that requests aborted later can be identified. */
  logUnderWay (): void
  /** Aborts all requests in flight; each gets the most accurate answer that is still possible. */
  cutUnderWay (): void
}

/** Expected duration of a request that arrives during the shutdown. */
export interface RequestTimeEstimate {
  /** Milliseconds until the deadline set by its route or its caller. */
  readonly remainingMs: number
  /** Milliseconds that the request will probably take, if known. */
  readonly expectedMs: number | undefined
}

/** Time without requests after which callers are taken to have moved to other hosts, in milliseconds. */
const QUIET_PERIOD_MS = 400

/** Longest wait for a quiet period after the balancer's lag, in milliseconds. */
const MAX_QUIET_WAIT_MS = 2500

const QUIET_POLL_INTERVAL_MS = 50

/** Time before the kill at which the host aborts the remaining requests, in milliseconds: enough to write answers and log lines, which a killed process can't. */
const ABORT_BEFORE_KILL_MS = 200

/** Time to write the answers of aborted requests, in milliseconds; slower readers lose theirs. */
const ABORT_WRITE_MS = 80

/** Largest fraction of the grace period that is spent on the balancer's lag; matters for short grace periods. */
const MAX_LAG_FRACTION = 0.5

/** Shuts the host down gracefully; does nothing until `begin` is called. */
export class GracefulShutdown {
  #signalledAt: number | undefined
  #abortTimer: NodeJS.Timeout | undefined
  #finishAbort: () => void = () => {}
  readonly #lagMs: number

  /**
   * @param work - tracks all work in flight
   * @param limits - time limits
   * @param telemetry - event log
   */
  constructor (
    private readonly work: WorkGate,
    private readonly limits: ShutdownLimits,
    private readonly telemetry: Telemetry
  ) {
    this.#lagMs = Math.min(limits.balancerLagMs, limits.graceMs * MAX_LAG_FRACTION)
  }

  /** Whether the signal has been received. */
  get isStopping (): boolean { return this.#signalledAt !== undefined }

  /** Milliseconds since the signal; 0 before it. */
  get sinceSignalMs (): number {
    return this.#signalledAt === undefined ? 0 : performance.now() - this.#signalledAt
  }

  /**
   * Begins the shutdown; the balancer has not noticed it yet.
   *
   * @param signalledAt - time of the signal, in monotonic milliseconds
   * @param server - server to drain
   */
  begin (signalledAt: number, server: DrainableServer): void {
    this.#signalledAt = signalledAt
    this.#log('signalled')
    server.releaseWaiting()
    this.#abortTimer = setTimeout(() => { this.#abort(server) }, Math.max(0, this.#leftMs - ABORT_BEFORE_KILL_MS))
  }

  /**
   * @param request - expected duration of a request that would start now
   * @returns whether this host can finish it; always true before the signal
   */
  admits ({ remainingMs, expectedMs }: RequestTimeEstimate): boolean {
    if (!this.isStopping) return true
    return admitDuringShutdown({ timeToKillMs: this.#leftMs, remainingMs, expectedMs, hasBalancerLagElapsed: this.sinceSignalMs >= this.#lagMs })
  }

  /**
   * Runs a shutdown that has begun to its end.
   *
   * @param server - server to drain
   * @returns once no work is in flight and none will start
   */
  async drain (server: DrainableServer): Promise<void> {
    const aborted = new Promise<void>(resolve => { this.#finishAbort = resolve })
    await Promise.race([this.#finish(server), aborted])
    clearTimeout(this.#abortTimer)
    this.#log('ended')
  }

  get #leftMs (): number { return this.limits.graceMs - this.sinceSignalMs }

  async #finish (server: DrainableServer): Promise<void> {
    await sleep(Math.max(0, this.#lagMs - this.sinceSignalMs))
    this.#log('balancer-lag-over')
    // The current time would be too late if the process was suspended during the sleep.
    const lagOverAt = performance.now() - this.sinceSignalMs + this.#lagMs
    server.closeIdleConnections()
    // New requests are still accepted while earlier work keeps the process running.
    await this.work.whenCurrentWorkEnds()
    await this.#whenQuiet(server, lagOverAt)
    this.work.close()
    this.#log('gate-closed')
    server.logUnderWay()
    await this.work.whenIdle()
  }

  async #whenQuiet (server: DrainableServer, lagOverAt: number): Promise<void> {
    while (!this.work.isClosed) {
      const now = performance.now()
      if (now - lagOverAt >= MAX_QUIET_WAIT_MS || now - Math.max(server.lastRequestAt, lagOverAt) >= QUIET_PERIOD_MS) return
      await sleep(QUIET_POLL_INTERVAL_MS)
    }
  }

  #abort (server: DrainableServer): void {
    this.#log('cut')
    this.work.close()
    server.cutUnderWay()
    setTimeout(() => { this.#finishAbort() }, ABORT_WRITE_MS)
  }

  #log (step: string): void {
    this.telemetry.logStateChange('stop-step', {
      step, underWay: this.work.activeCount, sinceSignalMs: Math.round(this.sinceSignalMs), balancerLagMs: this.#lagMs, graceMs: this.limits.graceMs
    })
  }
}
