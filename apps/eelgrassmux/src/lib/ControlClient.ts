/** Client of the control hosts for operators: finds the leader and queries a majority. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Configuration } from '@eelgrassmux/schema/configuration'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import {
  changeMembership, listHosts, listOrders, propose, watchView, type HostsResponse, type MembershipChange,
  type OrderReport, type ViewMessage
} from '@eelgrassmux/rpc/methods/controlMethods'
import { reportCrashes } from '@eelgrassmux/rpc/methods/quarantineMethods'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { QuarantineEntryMessage } from '@eelgrassmux/schema/quarantineEntry'
import type { Command, CommandResult, EvacuationImage } from '@eelgrassmux/state/commands'

/** Reason why a request of an operator failed. */
export type ControlError =
  | { readonly kind: 'no-majority', readonly answered: number, readonly voters: number }
  | { readonly kind: 'uncertain' }
  | { readonly kind: 'refused', readonly reason: string }
  | { readonly kind: 'no-answer' }

/** Host name in the reports that an operator sends. */
const OPERATOR_HOST = 'operator'

/** Deadline of each call, in milliseconds. */
const CALL_TIMEOUT_MS = 2000

/** Delay between attempts, in milliseconds. */
const RETRY_DELAY_MS = 100

/** Answers of a majority of the voting control hosts. */
export interface MajorityView {
  readonly answers: HostsResponse[]
  readonly voters: number
}

/** Calls the control hosts and retries until a timeout. */
export class ControlClient {
  readonly #rpc = new RpcClient()

  /**
   * @param addresses - addresses of control hosts
   * @param timeoutMs - how long each request is retried, in milliseconds
   */
  constructor (private readonly addresses: readonly string[], private readonly timeoutMs: number) {}

  /**
   * Proposes a command to the leader. The call may send the command several times, which is safe because
   * the command carries a request id.
   *
   * @param command - command to apply
   * @returns the result of the command
   */
  async propose (command: Command): Promise<Result<CommandResult, ControlError>> {
    const deadline = performance.now() + this.timeoutMs
    let target: string | undefined
    for (let turn = 0; performance.now() < deadline; turn += 1) {
      const address = target ?? this.#addressOfAttempt(turn)
      const answer = await this.#rpc.call(address, propose, { command }, CALL_TIMEOUT_MS)
      if (answer.ok && answer.value.kind === 'applied') return succeed(answer.value.result)
      target = answer.ok && answer.value.kind === 'not-leader' && answer.value.leader !== '' ? answer.value.leader : undefined
      await sleep(RETRY_DELAY_MS)
    }
    return fail({ kind: 'uncertain' })
  }

  /** @returns the answers of a majority of the voters */
  async majority (): Promise<Result<MajorityView, ControlError>> {
    const contacts = new Set(this.addresses)
    const answers = new Map<string, HostsResponse>()
    const asked = new Set<string>()
    for (;;) {
      const next = [...contacts].filter(address => !asked.has(address))
      if (next.length === 0) break
      for (const address of next) asked.add(address)
      const responses = await Promise.all(next.map(async address => await this.#rpc.call(address, listHosts, {}, CALL_TIMEOUT_MS)))
      for (const response of responses) {
        if (!response.ok) continue
        answers.set(response.value.replicaId, response.value)
        for (const voter of response.value.voters) contacts.add(voter.address)
      }
    }
    const newest = [...answers.values()].sort((left, right) => right.commitIndex - left.commitIndex)[0]
    const voters = new Set(newest?.voters.map(voter => voter.id))
    const voterAnswers = [...answers.values()].filter(answer => voters.has(answer.replicaId))
    if (voterAnswers.length * 2 <= voters.size) return fail({ kind: 'no-majority', answered: voterAnswers.length, voters: voters.size })
    return succeed({ answers: voterAnswers, voters: voters.size })
  }

  /** @returns the newest configuration that a majority has accepted, with its revision */
  async configuration (): Promise<Result<{ revision: number, configuration: Configuration }, ControlError>> {
    const majority = await this.majority()
    if (!majority.ok) return majority
    // At least one member of any majority has the newest accepted view, but may not have applied it yet.
    const newest = Math.max(...majority.value.answers.map(answer => answer.viewRevision))
    if (newest === 0) return succeed({ revision: 0, configuration: { documents: [] } })
    const message = await this.#readView(newest)
    if (message?.kind !== 'snapshot') return fail({ kind: 'no-answer' })
    return succeed({ revision: message.revision, configuration: { documents: message.documents } })
  }

  /** @returns the requests that are suspected, quarantined or on probation, as known to a majority */
  async quarantineEntries (): Promise<Result<readonly QuarantineEntryMessage[], ControlError>> {
    const majority = await this.majority()
    if (!majority.ok) return majority
    const newest = Math.max(...majority.value.answers.map(answer => answer.viewRevision))
    if (newest === 0) return succeed([])
    const message = await this.#readView(newest)
    return message === undefined ? fail({ kind: 'no-answer' }) : succeed(message.quarantine ?? [])
  }

  /**
   * Lifts the quarantine of a request, by reporting that the request completed.
   *
   * @param fingerprint - fingerprint of a request with a quarantine entry
   * @returns nothing once a majority has removed the entry
   */
  async clearRequest (fingerprint: string): Promise<Result<undefined, ControlError>> {
    const deadline = performance.now() + this.timeoutMs
    while (performance.now() < deadline) {
      const majority = await this.majority()
      const leader = majority.ok ? leaderAddress(majority.value.answers) : undefined
      if (leader !== undefined) await this.#rpc.call(leader, reportCrashes, { host: OPERATOR_HOST, losses: [], completed: [fingerprint] }, CALL_TIMEOUT_MS)
      const entries = await this.quarantineEntries()
      if (entries.ok && !entries.value.some(entry => entry.fingerprint === fingerprint)) return succeed(undefined)
      await sleep(RETRY_DELAY_MS)
    }
    return fail({ kind: 'uncertain' })
  }

  /** @returns the latest evacuation order of each data centre, as known to a majority */
  async evacuations (): Promise<Result<EvacuationImage, ControlError>> {
    const majority = await this.majority()
    if (!majority.ok) return majority
    return succeed(newestEvacuations(majority.value.answers))
  }

  /** @returns the running and the desired version of each engine, from the leader */
  async orders (): Promise<Result<OrderReport[], ControlError>> {
    const majority = await this.majority()
    if (!majority.ok) return majority
    const leader = leaderAddress(majority.value.answers)
    const answer = leader === undefined ? undefined : await this.#rpc.call(leader, listOrders, {}, CALL_TIMEOUT_MS)
    return answer?.ok === true ? succeed(answer.value.orders) : fail({ kind: 'no-answer' })
  }

  /**
   * Changes the membership of the control hosts, or transfers leadership.
   *
   * @param change - change to make
   * @returns nothing, or why the change was refused
   */
  async changeMembership (change: MembershipChange): Promise<Result<undefined, ControlError>> {
    const deadline = performance.now() + this.timeoutMs
    let reason = 'no-answer'
    while (performance.now() < deadline) {
      const majority = await this.majority()
      const leader = majority.ok ? leaderAddress(majority.value.answers) : undefined
      const answer = leader === undefined ? undefined : await this.#rpc.call(leader, changeMembership, change, CALL_TIMEOUT_MS)
      if (answer?.ok === true && answer.value.kind === 'done') return succeed(undefined)
      if (answer?.ok === true && answer.value.kind === 'refused') reason = answer.value.reason
      await sleep(RETRY_DELAY_MS)
    }
    return fail({ kind: 'refused', reason })
  }

  /**
   * Watches the view until the signal is aborted, and reconnects after errors.
   *
   * @param onMessage - called for each newer view
   * @param signal - stops watching
   */
  async watch (onMessage: (message: ViewMessage) => void, signal: AbortSignal): Promise<void> {
    let known = 0
    for (let turn = 0; !signal.aborted; turn += 1) {
      await this.#rpc.stream(this.#addressOfAttempt(turn), watchView, { viewRevision: known }, message => {
        if (message.viewRevision <= known) return
        known = message.viewRevision
        onMessage(message)
      }, signal)
      if (!signal.aborted) await sleep(RETRY_DELAY_MS)
    }
  }

  /** Closes all connections. */
  close (): void {
    this.#rpc.close()
  }

  async #readView (minimumRevision: number): Promise<ViewMessage | undefined> {
    const deadline = performance.now() + this.timeoutMs
    for (let turn = 0; performance.now() < deadline; turn += 1) {
      const abort = new AbortController()
      const timer = setTimeout(() => { abort.abort() }, CALL_TIMEOUT_MS)
      let first: ViewMessage | undefined
      await this.#rpc.stream(this.#addressOfAttempt(turn), watchView, { viewRevision: 0 }, message => {
        first ??= message
        abort.abort()
      }, abort.signal)
      clearTimeout(timer)
      if (first !== undefined && first.viewRevision >= minimumRevision) return first
    }
    return undefined
  }

  #addressOfAttempt (turn: number): string {
    return this.addresses[turn % this.addresses.length] ?? ''
  }
}

/**
 * @param answers - answers of a majority of control hosts, some of which may lag behind
 * @returns the newest evacuation orders in the answers
 */
export function newestEvacuations (answers: readonly HostsResponse[]): EvacuationImage {
  const none: EvacuationImage = { revision: 0, orders: [] }
  return answers.reduce((newest, { evacuations }) => evacuations.revision > newest.revision ? evacuations : newest, none)
}

function leaderAddress (answers: readonly HostsResponse[]): string | undefined {
  const newest = [...answers].sort((left, right) => right.term - left.term)
  for (const { leader, voters } of newest) {
    const address = voters.find(voter => voter.id === leader)?.address
    if (address !== undefined) return address
  }
  return undefined
}
