/** Calls with idempotency keys, through hosts that freeze and restart, to endpoints whose answers may be lost. */
import type { BackendError } from '@eelgrassmux/backends/BackendError'
import type { ServiceAnswer } from '@eelgrassmux/backends/ServiceClient'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { AtMostOnceExecutor } from '@eelgrassmux/entry/plain/AtMostOnceExecutor'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { SimulatedProposer } from './SimulatedProposer.js'

/** The part of a host that keyed calls need. */
export interface KeyedHost {
  readonly name: string
  readonly incarnation: number
  readonly frozenUntil: number
  readonly executor: AtMostOnceExecutor
}

/** Number of keys in use at the same time, and the time in milliseconds after which new keys replace them. */
const CONCURRENT_KEYS = 8
const KEY_LIFETIME_MS = 5000

const CUSTOMERS = ['ward', 'clinic']

/** Timeout of a call to an endpoint, in milliseconds. */
const CALL_TIMEOUT_MS = 400

/** Makes calls and checks that each key runs at most once and that each customer gets its own answer. */
export class SimulatedKeyedCalls {
  readonly #executions = new Map<string, number>()
  readonly #executedRequests = new Set<string>()

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   * @param proposer - sends commands to the control hosts
   */
  constructor (
    private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined, private readonly proposer: SimulatedProposer
  ) {}

  /**
   * @param host - host that runs the calls
   * @returns the executor for the current incarnation of the host
   */
  createExecutor (host: KeyedHost): AtMostOnceExecutor {
    const { incarnation } = host
    const isAlive = (): boolean => host.incarnation === incarnation
    return new AtMostOnceExecutor({
      clock: this.simulation,
      outcomes: { count: () => {} },
      work: new WorkGate(),
      propose: async (command, deadlineMs) => {
        if (this.broken === 'at-most-once' && command.kind === 'claim') return succeed({ kind: 'claim', result: { kind: 'claimed' } })
        const result = await this.proposer.propose(host.name, command, deadlineMs, isAlive)
        await this.#waitWhileFrozen(host)
        return isAlive() ? result : await new Promise<never>(() => {})
      }
    })
  }

  /**
   * @param host - host that receives the call
   * @param request - unique name of the call
   */
  async call (host: KeyedHost, request: string): Promise<void> {
    const customer = this.simulation.pickFrom(CUSTOMERS)
    const key = `key-${this.simulation.pick(CONCURRENT_KEYS) + Math.floor(this.simulation.now() / KEY_LIFETIME_MS) * CONCURRENT_KEYS}`
    const name = `${customer}/${key}`
    const { incarnation } = host
    const result = await host.executor.run({
      record: { customer, service: 'accounts', idempotencyKey: key },
      fingerprint: Buffer.from(name),
      timeoutMs: CALL_TIMEOUT_MS,
      dispatch: async timeoutMs => {
        await this.#waitWhileFrozen(host)
        if (incarnation !== host.incarnation) return await new Promise<never>(() => {})
        return await this.#dispatch(request, name, timeoutMs)
      }
    })
    if (!result.ok) {
      this.recorder.check('not-run-is-true', result.error.run !== 'not-run' || !this.#executedRequests.has(request),
        () => `${request} was refused as not run, but ran`)
      return
    }
    const body = Buffer.from(result.value.answer.body).toString()
    this.recorder.check('customers-apart', body.startsWith(`${name}#`), () => `${name} was answered ${body}`)
  }

  async #waitWhileFrozen (host: KeyedHost): Promise<void> {
    while (this.simulation.now() < host.frozenUntil) await this.simulation.sleep(host.frozenUntil - this.simulation.now())
  }

  async #dispatch (request: string, name: string, timeoutMs: number): Promise<Result<ServiceAnswer, BackendError>> {
    if (this.simulation.drawFault('loss', 0.1)) return fail({ kind: 'connect-failed' })
    await this.simulation.sleep(this.simulation.random() * 50)
    const runs = (this.#executions.get(name) ?? 0) + 1
    this.#executions.set(name, runs)
    this.#executedRequests.add(request)
    this.recorder.check('at-most-once', runs === 1, () => `${name} ran ${runs} times`)
    if (this.simulation.drawFault('loss', 0.15)) {
      await this.simulation.sleep(timeoutMs)
      return this.broken === 'not-run-is-true' ? fail({ kind: 'connect-failed' }) : fail({ kind: 'timeout' })
    }
    return succeed({ status: 200, contentType: 'text/plain', body: Buffer.from(`${name}#${request}`) })
  }
}
