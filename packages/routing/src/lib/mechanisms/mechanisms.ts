/**
 * Composes the routing mechanisms into one object at program start.
 *
 * A mechanism justifies its code only as long as disabling it costs something. Ablation
 * experiments name the mechanisms to disable. Each of these is replaced by an implementation that
 * does nothing, so that no routing decision checks whether a mechanism is enabled.
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

/** Mechanisms that can be disabled. */
export const mechanismSchema = z.enum([
  /** Home endpoints of shared prompt parts. */
  'homes',
  /** Fetches of prompt parts from stores. */
  'store-fetches',
  /** Estimates of the speed of store links, and the transfers of all hosts over them. */
  'link-speeds',
  /** Estimates of the time that engines take. */
  'engine-times',
  /** Correction for engines and routes that are slower than estimated. */
  'slowness',
  /** Load of the other hosts. */
  'others-work',
  /** Avoiding endpoints that other hosts observe to be silent, unreachable or failing. */
  'shared-observations',
  /** Delaying large requests while no engine has free memory. */
  'memory-limit',
  /** Delaying long prefills while their engine prefills others. */
  'read-ahead',
  /** Deferring long requests that are already late in favour of others. */
  'late-deferral',
  /** Scheduling ranks of requests at engines. */
  'ranks',
  /** Queueing requests at a host that has just started until it has a site. */
  'startup-queue'
])

/** Name of a mechanism that can be disabled. */
export type Mechanism = z.infer<typeof mechanismSchema>

/** Implementations that depend on the enabled mechanisms. */
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
 * @param disabled - mechanisms to disable; none in production
 */
export function composeMechanisms (disabled: ReadonlySet<Mechanism> = new Set()): RoutingMechanisms {
  const isEnabled = (mechanism: Mechanism): boolean => !disabled.has(mechanism)
  return {
    homeEndpoint: isEnabled('homes') ? homeEndpoint : () => undefined,
    engineRank: isEnabled('ranks') ? engineRank : () => 0,
    admission: {
      ...ADMISSION_LIMITS,
      ...(isEnabled('memory-limit') ? {} : { memoryShare: Number.POSITIVE_INFINITY }),
      ...(isEnabled('read-ahead') ? {} : { tokensAhead: Number.POSITIVE_INFINITY }),
      ...(isEnabled('late-deferral') ? {} : { lateTokensAhead: Number.POSITIVE_INFINITY, lateMemoryShare: Number.POSITIVE_INFINITY })
    },
    usesStores: isEnabled('store-fetches'),
    waitsForSite: isEnabled('startup-queue'),
    peerLoad: isEnabled('others-work') && isEnabled('shared-observations') ? new PeerLoad() : new PartialPeerLoad(isEnabled('others-work'), isEnabled('shared-observations')),
    createEngineModel: () => isEnabled('engine-times') ? new EngineModel() : new FixedEngineModel(),
    createSlownessEstimator: () => isEnabled('slowness') ? new Slowness() : new FixedSlowness(),
    createStoreLinks: liveHosts => isEnabled('link-speeds') ? new StoreLinks(liveHosts) : new ConfiguredStoreLinks(liveHosts)
  }
}

/** Keeps the initial assumptions about an engine. */
class FixedEngineModel extends EngineModel {
  override observe (): void {}
}

/** Treats all endpoints as being as fast as estimated. */
class FixedSlowness extends Slowness {
  override observe (): void {}
}

/** Uses the link speeds that the site states, and only this host's transfers. */
class ConfiguredStoreLinks extends StoreLinks {
  override observe (): void {}
  override observePeers (): LinkSpeedChange[] { return [] }
}

/** Load of other hosts, without their requests or without their observations. */
class PartialPeerLoad extends PeerLoad {
  constructor (private readonly includesLoad: boolean, private readonly includesObservations: boolean) {
    super()
  }

  override forEndpoint (endpoint: string): LoadFigures {
    const { inFlight, pendingTokens, heldTokens, ...observations } = super.forEndpoint(endpoint)
    return { ...NO_ENDPOINT_LOAD, ...(this.includesLoad ? { inFlight, pendingTokens, heldTokens } : {}), ...(this.includesObservations ? observations : {}) }
  }
}
