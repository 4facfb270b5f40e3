/** Finds the engines that can run a prompt and ranks them by the placement policy. */
import { blockKeys, cacheSalt, TOKENS_PER_BLOCK, tokenCount } from '@eelgrassmux/cache/blockKeys'
import { createPlacementPolicy, type PlacementPolicyName } from '@eelgrassmux/policy/placement/createPlacementPolicy'
import type { EngineCandidate, ImportCandidate, Placement, PlacementRequest } from '@eelgrassmux/policy/placement/placementTypes'
import type { Customer, Profile } from '@eelgrassmux/schema/configuration'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { EndpointTable } from '@eelgrassmux/policy/health/EndpointTable'
import type { EngineLoadTable } from '@eelgrassmux/policy/health/EngineLoadTable'
import type { LinkTable } from '@eelgrassmux/policy/health/LinkTable'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { Result } from '@eelgrassmux/schema/Result'
import type { DirectoryError, LookupFound } from './DirectoryClient.js'

/** Prompt to place. */
export interface PlaceRequest {
  readonly customer: Customer
  readonly model: string
  readonly profile: Profile
  /** Prompt followed by the answer so far. */
  readonly text: string
  /** Weight version that the engine must run; undefined while the answer has no tokens. */
  readonly version: string | undefined
  /** Engines that already failed this request. */
  readonly excluded: ReadonlySet<string>
}

/** Placement option of a request. */
export interface PlacedRun {
  readonly placement: Placement
  readonly salt: string
  readonly keys: readonly string[]
  readonly stored: LookupFound['stored']
}

/** State of engines and links used for placement. */
export interface PlacementFleet {
  readonly engineTable: EndpointTable
  readonly loads: EngineLoadTable
  readonly links: LinkTable
}

/** Looks up which engines and stores hold a prompt's blocks. */
export interface BlockLookup {
  lookup (keys: readonly string[]): Promise<Result<LookupFound, DirectoryError>>
}

/** Ranks placements by this host's view of the fleet. */
export class Placer {
  /**
   * @param clock - source of time, and of the randomness that breaks near-ties
   * @param fleet - state of endpoints, loads and links
   * @param directory - looks up cached blocks
   * @param configuration - returns the configuration in force
   * @param policyName - placement policy
   * @param lookupFailures - counts failed lookups
   */
  constructor (
    private readonly clock: Clock & { random (): number },
    private readonly fleet: PlacementFleet,
    private readonly directory: BlockLookup,
    private readonly configuration: () => ConfigurationIndex,
    readonly policyName: PlacementPolicyName,
    private readonly lookupFailures: LabelledCounter
  ) {}

  /**
   * @param request - prompt to place
   * @returns placements, best first; empty if no engine is eligible
   */
  async place (request: PlaceRequest): Promise<PlacedRun[]> {
    const engines = this.#candidates(request)
    const versions = [...new Set(engines.map(engine => engine.version))]
    const ranked = await Promise.all(versions.map(async version =>
      await this.#placeVersion(request, version, engines.filter(engine => engine.version === version))))
    return ranked.flat().sort((left, right) => left.placement.score - right.placement.score)
  }

  async #placeVersion (request: PlaceRequest, version: string, engines: EngineCandidate[]): Promise<PlacedRun[]> {
    const salt = cacheSalt({ cacheSecret: request.customer.cacheSecret, model: request.model, version })
    const keys = blockKeys(salt, request.text)
    const found = await this.#lookup(keys)
    const resident = new Map(found.resident.map(({ engine, blocks }) => [engine, blocks]))
    const placementRequest: PlacementRequest = {
      promptTokens: tokenCount(request.text),
      tokensPerBlock: TOKENS_PER_BLOCK,
      stored: found.stored.map(({ object, coversTo }): ImportCandidate => ({
        name: object.name,
        store: object.store,
        dataCentre: this.configuration().stores.get(object.store)?.dataCentre ?? '',
        bytes: object.bytes,
        coversTo
      })),
      links: this.fleet.links.views(this.clock.now())
    }
    const policy = createPlacementPolicy(this.policyName, request.profile.weights, () => this.clock.random())
    const candidates = engines.map(engine => ({ ...engine, residentBlocks: resident.get(engine.name) ?? 0 }))
    return policy.rank(placementRequest, candidates).map(placement => ({ placement, salt, keys, stored: found.stored }))
  }

  async #lookup (keys: readonly string[]): Promise<LookupFound> {
    const nothing: LookupFound = { kind: 'found', resident: [], stored: [] }
    if (keys.length === 0) return nothing
    const answer = await this.directory.lookup(keys)
    if (answer.ok) return answer.value
    this.lookupFailures.count(answer.error.kind)
    return nothing
  }

  #candidates (request: PlaceRequest): EngineCandidate[] {
    const now = this.clock.now()
    const candidates: EngineCandidate[] = []
    for (const endpoint of this.configuration().enginesOf(request.model)) {
      const load = this.fleet.loads.load(endpoint.name, now)
      if (load === undefined || request.excluded.has(endpoint.name)) continue
      if (this.fleet.engineTable.ineligibility(endpoint.name, now) !== undefined) continue
      if (request.version !== undefined && load.version !== request.version) continue
      candidates.push({
        name: endpoint.name,
        dataCentre: endpoint.dataCentre,
        version: load.version,
        residentBlocks: 0,
        queuedTokens: load.queuedTokens,
        running: load.running,
        maxRunning: load.maxRunning,
        meanRunMs: load.meanRunMs,
        prefillTokensPerMs: load.prefillTokensPerMs
      })
    }
    return candidates
  }
}
