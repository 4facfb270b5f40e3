/**
 * The mechanisms that decide where requests go, as one object that is put together at the
 * start of a program.
 *
 * A mechanism is worth its code only while leaving it out costs something. Experiments name
 * the ones to leave out, and each is then replaced by one that does nothing; no decision
 * asks whether it is there.
 */
import { z } from 'zod'
import { ADMISSION_LIMITS, type AdmissionLimits } from '../admission/admitStream.js'
import { EngineModel } from '../endpoints/EngineModel.js'
import { Slowness } from '../endpoints/Slowness.js'
import { NO_ENDPOINT_LOAD, type LoadFigures } from '../load/loadReport.js'
import { PeerLoad } from '../load/PeerLoad.js'
import { engineRank } from '../prompts/engineRank.js'
import { homeEndpoint } from '../prompts/homeEndpoint.js'
import type { LinkSpeedChange } from '../stores/LinkSpeeds.js'
import { StoreLinks } from '../stores/StoreLinks.js'

/** Mechanisms that can be left out. */
export const mechanismSchema = z.enum([
  /** Agreed homes of shared parts. */
  'homes',
  /** Fetches from stores. */
  'store-fetches',
  /** Learning how fast stores' links are, and counting the transfers of all hosts. */
  'link-speeds',
  /** Learning what engines take. */
  'engine-times',
  /** Learning which engines and routes are slower than estimated. */
  'slowness',
  /** Counting the work of other hosts. */
  'others-work',
  /** Keeping away from endpoints that other hosts find silent, out of reach or failing. */
  'shared-observations',
  /** Holding large requests back while no engine has memory. */
  'memory-limit',
  /** Holding long reads back while their engine reads others. */
  'read-ahead',
  /** Late long requests giving way to others. */
  'late-deferral',
  /** Ranks at engines. */
  'ranks',
  /** Requests waiting for the site at a host that has just started. */
  'startup-queue'
])

/** A mechanism that can be left out. */
export type Mechanism = z.infer<typeof mechanismSchema>

/** What differs when mechanisms are left out. */
export interface RoutingMechanisms {
  readonly homeEndpoint: typeof homeEndpoint | (() => undefined)
  readonly engineRank: typeof engineRank
  readonly admission: AdmissionLimits
  readonly usesStores: boolean
  readonly waitsForSite: boolean
  readonly peerLoad: PeerLoad
  createEngineModel (): EngineModel
  createSlownessEstimator (): Slowness
  createStoreLinks (liveHosts: () => number): StoreLinks
}

/**
 * @param leftOut - mechanisms that do nothing; none in service
 */
export function composeMechanisms (leftOut: ReadonlySet<Mechanism> = new Set()): RoutingMechanisms {
  const has = (mechanism: Mechanism): boolean => !leftOut.has(mechanism)
  return {
    homeEndpoint: has('homes') ? homeEndpoint : () => undefined,
    engineRank: has('ranks') ? engineRank : () => 0,
    admission: {
      ...ADMISSION_LIMITS,
      ...(has('memory-limit') ? {} : { memoryShare: Number.POSITIVE_INFINITY }),
      ...(has('read-ahead') ? {} : { tokensAhead: Number.POSITIVE_INFINITY }),
      ...(has('late-deferral') ? {} : { lateTokensAhead: Number.POSITIVE_INFINITY, lateMemoryShare: Number.POSITIVE_INFINITY })
    },
    usesStores: has('store-fetches'),
    waitsForSite: has('startup-queue'),
    peerLoad: has('others-work') && has('shared-observations') ? new PeerLoad() : new PartOfOthersWork(has('others-work'), has('shared-observations')),
    createEngineModel: () => has('engine-times') ? new EngineModel() : new AssumedEngineModel(),
    createSlownessEstimator: () => has('slowness') ? new Slowness() : new EvenSlowness(),
    createStoreLinks: liveHosts => has('link-speeds') ? new StoreLinks(liveHosts) : new StatedStoreLinks(liveHosts)
  }
}

/** Engines that take what is assumed of them. */
class AssumedEngineModel extends EngineModel {
  override observe (): void {}
}

/** Endpoints that are all as fast as estimated. */
class EvenSlowness extends Slowness {
  override observe (): void {}
}

/** Links that are as fast as the site states, with this host's transfers only. */
class StatedStoreLinks extends StoreLinks {
  override observe (): void {}
  override observePeers (): LinkSpeedChange[] { return [] }
}

/** What other hosts tell, without their work or without what they see. */
class PartOfOthersWork extends PeerLoad {
  constructor (private readonly hasWork: boolean, private readonly hasObservations: boolean) {
    super()
  }

  override forEndpoint (endpoint: string): LoadFigures {
    const { inFlight, pendingTokens, heldTokens, ...observations } = super.forEndpoint(endpoint)
    return { ...NO_ENDPOINT_LOAD, ...(this.hasWork ? { inFlight, pendingTokens, heldTokens } : {}), ...(this.hasObservations ? observations : {}) }
  }
}
