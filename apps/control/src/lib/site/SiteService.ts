/** What operators may ask of any control host: put a site, read it back, name weights. */
import { propose, readSite, type ReadSiteResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { Command, CommandResult } from '@eelgrassmux/state/commands'
import type { ProposeOutcome, RaftTask } from '../raft/RaftTask.js'

/** Outcome of an operator's command. */
export type CommandOutcome =
  | { readonly kind: 'applied', readonly result: CommandResult }
  /** It may be applied later or never; sending it again is safe. */
  | { readonly kind: 'unavailable' }

/** Outcome of an order about a data centre. */
export type EvacuationOutcome =
  | { readonly kind: 'applied' }
  /** There is room for no more. */
  | { readonly kind: 'refused', readonly reason: string }
  /** Newer orders came in between, or the caller has left: nothing was changed. */
  | { readonly kind: 'overtaken' }
  /** It may be applied later or never; sending it again is safe. */
  | { readonly kind: 'unavailable' }

/** Times that an order is proposed anew after others about the same data centre came in between. */
const MOST_PROPOSALS = 3

/** Deadline of a call to the leader, in milliseconds; operators turn to another host after a second. */
const LEADER_CALL_MS = 900

/** Carries operators' calls to the leader, wherever they arrive. */
export class SiteService {
  /**
   * @param raft - this host's replica
   * @param rpc - client for calls to the leader
   */
  constructor (private readonly raft: RaftTask, private readonly rpc: RpcClient) {}

  /**
   * Puts a site in force, unless one with the same or a higher version is.
   *
   * @param site - checked site
   * @param source - the document as its operator wrote it
   */
  async putSite (site: Site, source: Uint8Array): Promise<CommandOutcome> {
    return await this.#propose({ kind: 'put-site', site, source })
  }

  /**
   * Names the weights that all engines of a model should run.
   *
   * @param model - model name
   * @param version - rises with each new set of weights
   */
  async nameWeights (model: string, version: number): Promise<CommandOutcome> {
    return await this.#propose({ kind: 'name-weights', model, version })
  }

  /**
   * Orders that a data centre's endpoints get no new work, or that they do again.
   *
   * @param dataCentre - checked name
   * @param isEvacuated - false to end the evacuation
   * @param hasLeft - whether the caller has left: it sends the order again, or has sent a newer one since
   */
  async orderEvacuation (dataCentre: string, isEvacuated: boolean, hasLeft: () => boolean): Promise<EvacuationOutcome> {
    let knownRevision = this.raft.state.evacuations.revision
    for (let proposals = 0; proposals < MOST_PROPOSALS && !hasLeft(); proposals += 1) {
      const outcome = await this.#propose({ kind: 'order-evacuation', dataCentre, isEvacuated, knownRevision })
      if (outcome.kind !== 'applied') return outcome
      const { result } = outcome
      if (result.kind === 'accepted') return { kind: 'applied' }
      if (result.kind !== 'revision-conflict') return { kind: 'refused', reason: result.kind === 'invalid' ? result.message : result.kind }
      knownRevision = result.revision
    }
    return { kind: 'overtaken' }
  }

  /** @returns the newest accepted site, or `unconfirmed` if nobody can be sure which it is */
  async readSite (): Promise<ReadSiteResponse> {
    const own = await this.readAsLeader()
    if (own.kind !== 'unconfirmed' || own.leader === '') return own
    const answer = await this.rpc.call(own.leader, readSite, {}, LEADER_CALL_MS)
    return answer.ok ? answer.value : { kind: 'unconfirmed', leader: '' }
  }

  /** @returns the newest accepted site if this host leads and a quorum confirms it */
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
    const answer = await this.rpc.call(own.leader, propose, { command }, LEADER_CALL_MS)
    return answer.ok ? toOutcome(answer.value) : { kind: 'unavailable' }
  }
}

function toOutcome (outcome: ProposeOutcome): CommandOutcome {
  return outcome.kind === 'applied' ? outcome : { kind: 'unavailable' }
}
