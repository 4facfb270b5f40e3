/**
 * Names hosts that relay requests to those that are partitioned from the endpoints, and authenticates the latter.
 *
 * Only the leader does, in memory: a new leader learns of the hosts that are partitioned with their next questions.
 */
import { randomUUID } from 'node:crypto'
import { RelayTickets } from '@eelgrassmux/routing/reachability/RelayTickets'
import { checkRelayTicket, MAX_RELAY_HOSTS, openRelays, type CheckRelayTicketResponse, type OpenRelaysRequest, type OpenRelaysResponse } from '@eelgrassmux/rpc/methods/relayMethods'
import type { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Dependencies of the task. */
export interface RelayPorts {
  isLeader (): boolean
  /** Returns the addresses of the entry hosts that accept requests. */
  entryAddresses (now: number): readonly string[]
  readonly telemetry: Telemetry
}

/** Answers hosts that are partitioned, and hosts that were asked to relay. */
export class RelayTask {
  readonly #tickets = new RelayTickets(randomUUID)
  readonly #questions: LabelledCounter

  /** @param ports - dependencies */
  constructor (private readonly ports: RelayPorts) {
    this.#questions = ports.telemetry.labelledCounter('relay_questions_total', 'Questions of entry hosts about relays by outcome', 'outcome')
  }

  /** @param server - RPC server on which to register the methods */
  register (server: RpcServer): void {
    server.handle(openRelays, async request => this.open(request))
    server.handle(checkRelayTicket, async ({ ticket }) => this.check(ticket))
  }

  /** @param request - question of a host that is partitioned */
  open ({ host }: OpenRelaysRequest): OpenRelaysResponse {
    if (!this.#isAnswered('opened')) return { isTaken: false, ticket: '', hosts: [] }
    const now = performance.now()
    const ticket = this.#tickets.open(host, now)
    return { isTaken: true, ticket, hosts: this.#tickets.candidates(this.ports.entryAddresses(now), host, MAX_RELAY_HOSTS, now, Math.random) }
  }

  /** @param ticket - ticket that a relayed request carries */
  check (ticket: string): CheckRelayTicketResponse {
    if (!this.#isAnswered('checked')) return { isTaken: false, host: '' }
    return { isTaken: true, host: this.#tickets.holderOf(ticket, performance.now()) ?? '' }
  }

  #isAnswered (outcome: string): boolean {
    const isLeader = this.ports.isLeader()
    this.#questions.count(isLeader ? outcome : 'not-leader')
    return isLeader
  }
}
