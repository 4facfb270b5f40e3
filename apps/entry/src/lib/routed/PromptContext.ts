/** The prompt of one routed request: where its parts are cached, and which transfers engines and stores should make. */
import type { EndpointChoice, PromptQuery } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { cacheScope, type CacheOwner } from '@eelgrassmux/routing/prompts/cacheScope'
import type { PromptDescription, PromptPart } from '@eelgrassmux/routing/prompts/promptDescription'
import type { StorePlan } from '@eelgrassmux/routing/stores/StoredPartsIndex'
import type { EngineTraits } from '@eelgrassmux/schema/site/siteSchema'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { StoreTransfers } from './RequestCodec.js'
import type { PromptPorts } from './PromptPorts.js'
import type { RoutedRequest } from './RoutedRequest.js'

/** A plan that uses no store. */
const NO_STORES: StorePlan = { fetches: [], saves: [], storedTokens: 0 }

/** The prompt of one request to a service with engines. */
export class PromptContext {
  readonly #plans = new Map<number, StorePlan>()
  readonly #shared: readonly PromptPart[]

  private constructor (
    private readonly request: RoutedRequest,
    private readonly description: PromptDescription,
    private readonly engine: EngineTraits,
    private readonly owner: CacheOwner,
    private readonly ports: PromptPorts
  ) {
    // The last part is unique to this request.
    this.#shared = description.parts.slice(0, -1)
  }

  /**
   * @param request - routed request of any kind
   * @param ports - dependencies
   * @returns the request's prompt; undefined if it has none or its service has no engines
   */
  static of (request: RoutedRequest, ports: PromptPorts): PromptContext | undefined {
    const { fields, service, customer, sharingGroup = '' } = request
    if (fields.prompt === undefined || service.engine === undefined) return undefined
    return new PromptContext(request, fields.prompt, service.engine, customer?.isIsolated === true ? { isolatedCustomer: customer.name } : { sharingGroup }, ports)
  }

  /**
   * Returns the prompt's requirements for the choice of an engine.
   *
   * @param requiredVersion - version of the weights under which the response has begun; undefined before that
   */
  requirements (requiredVersion: number | undefined): { readonly prompt: PromptQuery } {
    const { route, service, arrivedAt } = this.request
    return {
      prompt: {
        description: this.description,
        desiredVersion: this.ports.desiredVersion(this.description.model),
        objectiveRemainingMs: arrivedAt + route.targetLatencyMs - performance.now(),
        remainingMsOn: version => this.remainingMsOn(version),
        requiredVersion,
        engine: this.ports.fleet.engineModel(service.name),
        memoryTokens: this.engine.cacheTokens,
        scope: version => this.scope(version),
        stored: version => this.#plan(version),
        links: this.ports.fleet.storeLinks,
        bytesPerToken: this.engine.bytesPerToken,
        longestPauseMs: route.longestPauseMs
      }
    }
  }

  /**
   * @param version - version of the weights; undefined if the endpoint stated none
   * @returns milliseconds within which the request may begin on them
   */
  remainingMsOn (version: number | undefined): number {
    return version === undefined ? Number.POSITIVE_INFINITY : this.ports.remainingMsForVersion(this.description.model, version)
  }

  /**
   * @param version - version of the weights
   * @returns key under which engines and stores cache the parts
   */
  scope (version: number): string {
    return cacheScope(version, this.owner, this.request.regionBound)
  }

  /**
   * Returns the transfers that the chosen engine should make.
   *
   * @param choice - engine that was chosen
   * @param version - version of its weights
   * @param deadline - deadline of the request, in monotonic milliseconds
   */
  transfers (choice: EndpointChoice, version: number, deadline: number): StoreTransfers | undefined {
    const plan = this.#plan(version)
    if (plan === NO_STORES) return undefined
    const now = performance.now()
    const clockMs = this.ports.storeClockMs(now)
    const saves = this.#eachPart(index => plan.saves[index])
    // Without the stores' clock, a fetch could not be given a time limit, so nothing is fetched.
    if (clockMs === undefined) return { fetches: [], saves, fetchUntilMs: undefined }
    // The time limit is the request's own deadline, also after it has waited: without the fetch, the
    // engine would read the whole prompt, its queue would grow, and all other fetches would be late as well.
    const fetches = this.#eachPart(index => index < choice.prefill.partsFromStores ? plan.fetches[index]?.address : undefined)
    return { fetches, saves, fetchUntilMs: clockMs + deadline - now }
  }

  /** @param choice - engine that the request was sent to */
  recordSend ({ version, endpoint }: EndpointChoice): void {
    if (version === undefined) return
    this.ports.fleet.promptMemory.recordSend(this.scope(version), this.#shared, endpoint.incarnation, performance.now())
  }

  /**
   * @param choice - engine that was chosen
   * @returns share of its memory that this request alone needs; 0 if the memory size is not known
   */
  memoryShareOf ({ tokensHeld }: EndpointChoice): number {
    return this.engine.cacheTokens === 0 ? 0 : tokensHeld / this.engine.cacheTokens
  }

  /** Discards the store plans, so that the next choice sees what has been stored since. */
  forgetPlans (): void {
    this.#plans.clear()
  }

  /**
   * @param version - version of the weights
   * @returns fields of the log event that describe the prompt
   */
  describe (version: number): Pick<DecisionFields<'answered'>, 'promptTokens' | 'storedTokens' | 'sharedPart' | 'saves'> {
    const { storedTokens, saves } = this.#plan(version)
    return {
      promptTokens: this.description.promptTokens,
      storedTokens,
      sharedPart: this.#shared.at(-1)?.id ?? '',
      saves: saves.filter(address => address !== undefined).length
    }
  }

  /** Returns one entry for each part. A list with a single address would be understood as the store of the whole prompt. */
  #eachPart (address: (index: number) => string | undefined): Array<string | undefined> {
    return this.description.parts.map((_, index) => address(index))
  }

  /** Returns the store plan for a version of the weights. It is made once, so that all candidates are compared under the same plan. */
  #plan (version: number): StorePlan {
    const present = this.#plans.get(version)
    if (present !== undefined) return present
    const plan = this.ports.areStoresUsable(performance.now())
      ? this.ports.fleet.storedParts.plan(this.scope(version), this.#shared, dataCentre => this.request.regionBound?.allows(dataCentre) !== false)
      : NO_STORES
    this.#plans.set(version, plan)
    return plan
  }
}
