/** What concerns the prompt of one routed request: where its parts are kept, and what is asked of engines and stores. */
import type { EndpointChoice, PromptQuery } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { cacheScope } from '@eelgrassmux/routing/prompts/cacheScope'
import type { PromptDescription, PromptPart } from '@eelgrassmux/routing/prompts/promptDescription'
import type { StorePlan } from '@eelgrassmux/routing/stores/StoredPartsIndex'
import type { EngineTraits } from '@eelgrassmux/schema/site/siteSchema'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { StoreTransfers } from './RequestCodec.js'
import type { PromptPorts } from './PromptPorts.js'
import type { RoutedRequest } from './RoutedRequest.js'

/** A plan that uses no store. */
const NO_STORES: StorePlan = { fetches: [], saves: [], storedTokens: 0 }

/** The prompt of one request to a service of engines. */
export class PromptContext {
  readonly #plans = new Map<number, StorePlan>()
  readonly #shared: readonly PromptPart[]

  private constructor (
    private readonly request: RoutedRequest,
    private readonly description: PromptDescription,
    private readonly engine: EngineTraits,
    private readonly isolatedCustomer: string | undefined,
    private readonly ports: PromptPorts
  ) {
    // The last part belongs to this request alone.
    this.#shared = description.parts.slice(0, -1)
  }

  /**
   * @param request - any routed request
   * @param ports - surroundings
   * @returns its prompt, or undefined if it has none or its service has no engines
   */
  static of (request: RoutedRequest, ports: PromptPorts): PromptContext | undefined {
    const { fields, service, customer } = request
    if (fields.prompt === undefined || service.engine === undefined) return undefined
    return new PromptContext(request, fields.prompt, service.engine, customer?.isIsolated === true ? customer.name : undefined, ports)
  }

  /**
   * What to ask when an engine is chosen.
   *
   * @param requiredVersion - set when the request must go on under the weights it began with
   */
  ask (requiredVersion: number | undefined): { readonly prompt: PromptQuery } {
    const { route, service, arrivedAt } = this.request
    return {
      prompt: {
        description: this.description,
        desiredVersion: this.ports.desiredVersion(this.description.model),
        objectiveRemainingMs: arrivedAt + route.targetLatencyMs - performance.now(),
        remainingMsOn: version => this.ports.leftMsOn(this.description.model, version),
        requiredVersion,
        engine: this.ports.fleet.engineModel(service.name),
        memoryTokens: this.engine.cacheTokens,
        scope: version => this.scope(version),
        stored: version => this.#plan(version),
        links: this.ports.fleet.storeLinks,
        bytesPerToken: this.engine.bytesPerToken
      }
    }
  }

  /**
   * @param version - of the weights
   * @returns the text under which engines and stores keep the parts
   */
  scope (version: number): string {
    return cacheScope(version, this.isolatedCustomer, this.request.regionBound)
  }

  /**
   * Transfers to ask of the chosen engine.
   *
   * @param choice - the engine
   * @param version - of its weights
   * @param deadline - monotonic milliseconds at which the request's time is over
   */
  transfers (choice: EndpointChoice, version: number, deadline: number): StoreTransfers | undefined {
    const plan = this.#plan(version)
    if (plan === NO_STORES) return undefined
    const now = performance.now()
    const clockMs = this.ports.storeClockMs(now)
    const saves = this.#eachPart(index => plan.saves[index])
    // Without the stores' clock a late fetch could not be thrown away, so there is none.
    if (clockMs === undefined) return { fetches: [], saves, fetchUntilMs: undefined }
    // A request that has waited needs its fetch all the more: without it the engine reads
    // the whole prompt, its queue grows, and the fetches of all others come too late as well.
    const fetches = this.#eachPart(index => index < choice.prefill.partsFromStores ? plan.fetches[index]?.address : undefined)
    return { fetches, saves, fetchUntilMs: clockMs + deadline - now }
  }

  /** @param choice - the engine to which the request was sent */
  recordSend ({ version, endpoint }: EndpointChoice): void {
    if (version === undefined) return
    this.ports.fleet.memory.recordSend(this.scope(version), this.#shared, endpoint.incarnation, performance.now())
  }

  /**
   * @param choice - an engine
   * @returns share of its memory that the request alone needs; 0 if that is not known
   */
  memoryShareOf ({ tokensHeld }: EndpointChoice): number {
    return this.engine.cacheTokens === 0 ? 0 : tokensHeld / this.engine.cacheTokens
  }

  /** Plans anew next time, because more may be stored by then. */
  forgetPlans (): void {
    this.#plans.clear()
  }

  /**
   * @param version - of the weights
   * @returns what the log says of the prompt
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

  /** An address that stands alone, with no entry for the other parts, would be asked for the whole prompt. */
  #eachPart (address: (index: number) => string | undefined): Array<string | undefined> {
    return this.description.parts.map((_, index) => address(index))
  }

  /** Planned once for each version: all candidates are weighed against the same plan. */
  #plan (version: number): StorePlan {
    const present = this.#plans.get(version)
    if (present !== undefined) return present
    const plan = this.ports.storesUsable(performance.now())
      ? this.ports.fleet.storedParts.plan(this.scope(version), this.#shared, dataCentre => this.request.regionBound?.allows(dataCentre) !== false)
      : NO_STORES
    this.#plans.set(version, plan)
    return plan
  }
}
