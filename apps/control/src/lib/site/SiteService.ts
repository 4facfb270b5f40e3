/** Operations that operators may request from any control host: put or read the site, name weights, evacuate a data centre. */
import { propose, readSite, type ReadSiteResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { RpcError } from '@eelgrassmux/rpc/RpcError'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { Command, CommandResult } from '@eelgrassmux/state/commands'
import type { ProposeOutcome, RaftTask } from '../raft/RaftTask.js'

/** Outcome of an operator's command. */
export type CommandOutcome =
  | { readonly kind: 'applied', readonly result: CommandResult }
  /** The command may be applied later or never. Sending it again is safe. */
  | { readonly kind: 'unavailable' }

/** Outcome of an order to start or end the evacuation of a data centre. */
export type EvacuationOutcome =
  | { readonly kind: 'applied' }
  /** The maximum number of data centres is already evacuated. */
  | { readonly kind: 'refused', readonly reason: string }
  /** Newer orders were applied first or the caller has disconnected, so nothing was changed. */
  | { readonly kind: 'overtaken' }
  /** The order may be applied later or never. Sending it again is safe. */
  | { readonly kind: 'unavailable' }

/** Why a read of the site was not confirmed, for the log. */
export type UnconfirmedCause = 'no-leader' | 'no-quorum' | `leader-${'unconfirmed' | RpcError['kind']}`

/** Result of a read of the site from any control host. */
export type SiteReadOutcome =
  | Exclude<ReadSiteResponse, { readonly kind: 'unconfirmed' }>
  | { readonly kind: 'unconfirmed', readonly cause: UnconfirmedCause, readonly leader: string }

/** Maximum number of proposals of one order if other orders for the same data centre are applied first. */
const MAX_PROPOSALS = 3

/** Timeout of a call to the leader, in milliseconds. Operators switch to another host after one second. */
const LEADER_CALL_TIMEOUT_MS = 900

/** Forwards operators' calls from any control host to the leader. */
export class SiteService {
  /**
   * @param raft - replica of this host
   * @param rpc - client for calls to the leader
   */
  constructor (private readonly raft: RaftTask, private readonly rpc: RpcClient) {}

  /**
   * Applies a site unless the current one has the same or a higher version.
   *
   * @param site - validated site
   * @param source - source document as the operator wrote it
   */
  async putSite (site: Site, source: Uint8Array): Promise<CommandOutcome> {
    return await this.#propose({ kind: 'put-site', site, source })
  }

  /**
   * Sets the weight version that all engines of a model should run.
   *
   * @param model - name of the model
   * @param version - version, which increases with each new set of weights
   */
  async nameWeights (model: string, version: number): Promise<CommandOutcome> {
    return await this.#propose({ kind: 'name-weights', model, version })
  }

  /**
   * Starts or ends the evacuation of a data centre. Endpoints of an evacuated data centre get no new work.
   *
   * @param dataCentre - validated name of the data centre
   * @param isEvacuated - true to start the evacuation, false to end it
   * @param hasCallerLeft - returns true if the caller has disconnected; it may then repeat the order or may have sent a newer one
   */
  async orderEvacuation (dataCentre: string, isEvacuated: boolean, hasCallerLeft: () => boolean): Promise<EvacuationOutcome> {
    let knownRevision = this.raft.state.evacuations.revision
    for (let proposals = 0; proposals < MAX_PROPOSALS && !hasCallerLeft(); proposals += 1) {
      const outcome = await this.#propose({ kind: 'order-evacuation', dataCentre, isEvacuated, knownRevision })
      if (outcome.kind !== 'applied') return outcome
      const { result } = outcome
      if (result.kind === 'accepted') return { kind: 'applied' }
      if (result.kind !== 'revision-conflict') return { kind: 'refused', reason: result.kind === 'invalid' ? result.message : result.kind }
      knownRevision = result.revision
    }
    return { kind: 'overtaken' }
  }

  /** @returns the newest accepted site, or `unconfirmed` if it could not be confirmed by the leader */
  async readSite (): Promise<SiteReadOutcome> {
    const wasLeader = this.raft.core.role === 'leader'
    const own = await this.readAsLeader()
    if (own.kind !== 'unconfirmed') return own
    const { leader } = own
    if (leader === '') return { kind: 'unconfirmed', cause: wasLeader ? 'no-quorum' : 'no-leader', leader }
    const answer = await this.rpc.call(leader, readSite, {}, LEADER_CALL_TIMEOUT_MS, { isRepeatable: true })
    if (!answer.ok) return { kind: 'unconfirmed', cause: `leader-${answer.error.kind}`, leader }
    return answer.value.kind === 'unconfirmed' ? { kind: 'unconfirmed', cause: 'leader-unconfirmed', leader } : answer.value
  }

  /** @returns the newest accepted site if this host is the leader and a quorum confirms it, and `unconfirmed` otherwise */
  async readAsLeader (): Promise<ReadSiteResponse> {
    const { core } = this.raft
    if (core.role !== 'leader') return { kind: 'unconfirmed', leader: core.leader?.address ?? '' }
    if (!await this.raft.confirmRead()) return { kind: 'unconfirmed', leader: '' }
    const { put } = this.raft.state.sites
    return put === undefined ? { kind: 'none' } : { kind: 'site', version: put.site.version, source: put.source }
  }

  async #propose (command: Command): Promise<CommandOutcome> {
    const own = await this.raft.propose(command)
    if (own.kind !== 'not-leader' || own.leader === '') return toOutcome(own)
    const answer = await this.rpc.call(own.leader, propose, { command }, LEADER_CALL_TIMEOUT_MS, { isRepeatable: isIdempotent(command) })
    return answer.ok ? toOutcome(answer.value) : { kind: 'unavailable' }
  }
}

/** An order for a data centre is based on a revision, and the second of two equal ones conflicts with the first. */
function isIdempotent ({ kind }: Command): boolean {
  return kind !== 'order-evacuation'
}

function toOutcome (outcome: ProposeOutcome): CommandOutcome {
  return outcome.kind === 'applied' ? outcome : { kind: 'unavailable' }
}
