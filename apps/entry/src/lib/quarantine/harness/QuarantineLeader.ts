/** The leading control host as far as the quarantine is concerned, without a network, for tests. */
import { CrashCorrelator } from '@eelgrassmux/routing/quarantine/CrashCorrelator'
import { QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import { reportCrashesRequestSchema } from '@eelgrassmux/rpc/methods/quarantineMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { succeed } from '@eelgrassmux/schema/Result'
import type { QuarantineDecision } from '@eelgrassmux/schema/quarantineEntry'
import { QuarantineRegistry } from '@eelgrassmux/state/QuarantineRegistry'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { CrashReporter } from '../CrashReporter.js'
import { RequestQuarantine } from '../RequestQuarantine.js'

/** Interval between decisions, in milliseconds. */
const DECISION_INTERVAL_MS = 100

interface ConnectedHost {
  readonly table: QuarantineTable
  readonly quarantine: RequestQuarantine
  readonly reporter: CrashReporter
}

/** Correlates the reports of all hosts; each decision is in force at all hosts at once. */
export class QuarantineLeader {
  readonly register = new QuarantineRegistry()
  readonly #correlator = new CrashCorrelator()
  readonly #hosts: ConnectedHost[] = []
  readonly #timer = setInterval(() => { this.#decide() }, DECISION_INTERVAL_MS)

  /** @returns the quarantine of another host */
  connect (): RequestQuarantine {
    const telemetry = new Telemetry('test')
    const rpc = { call: async (_address: string, _method: unknown, request: unknown) => { this.#observe(request); return succeed({ isTaken: true }) } }
    const reporter = new CrashReporter(`host-${this.#hosts.length}`, { rpc: rpc as unknown as Pick<RpcClient, 'call'>, leader: () => 'leader', telemetry })
    const table = new QuarantineTable()
    const quarantine = new RequestQuarantine(table, reporter, telemetry)
    this.#hosts.push({ table, quarantine, reporter })
    return quarantine
  }

  stop (): void {
    clearInterval(this.#timer)
    for (const { reporter } of this.#hosts) reporter.stop()
  }

  #observe (request: unknown): void {
    const { losses, completed } = reportCrashesRequestSchema.parse(request)
    const now = performance.now()
    for (const loss of losses) this.#correlator.observe(loss, now)
    this.#apply(completed.flatMap((fingerprint): QuarantineDecision[] => {
      this.#correlator.recordCompletion(fingerprint, now)
      const entry = this.register.find(fingerprint)
      return entry === undefined ? [] : [{ fingerprint, service: entry.service, decision: 'clear', forMs: 0 }]
    }))
  }

  #decide (): void {
    const now = performance.now()
    for (const endpoint of this.#correlator.unconfirmedCrashes(this.register)) this.#correlator.recordCrashCheck(endpoint, true, now)
    this.#apply(this.#correlator.decide(this.register, now))
  }

  #apply (decisions: readonly QuarantineDecision[]): void {
    if (decisions.length === 0) return
    const clock = Date.now()
    this.register.apply(decisions, clock)
    const entries = this.register.all.map(({ endsAt, ...entry }) => ({ ...entry, leftMs: endsAt - clock }))
    for (const { table, quarantine } of this.#hosts) {
      table.replace(entries, performance.now())
      quarantine.logChanges(1, performance.now())
    }
  }
}
