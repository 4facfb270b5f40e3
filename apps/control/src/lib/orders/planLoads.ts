/** Decides which engines are ordered to load weights next. */
import type { EngineEndpoint, Model } from '@eelgrassmux/schema/configuration'

/** An engine as last observed. */
export interface ObservedEngine {
  readonly endpoint: EngineEndpoint
  /** Undefined while it does not answer. */
  readonly runningVersion: string | undefined
  readonly loadingVersion: string | undefined
  /** An order sent lately that its reports do not show yet. */
  readonly orderPending: boolean
}

/** Weight loads allowed at once: the weight store slows down for everybody beyond this. */
export const LOADS_AT_ONCE = 2

/**
 * Plans the next orders under the permits and each model's serving floor.
 *
 * @param models - desired versions
 * @param engines - all configured engines
 * @returns engines to order now, each with the version to load
 */
export function planLoads (
  models: ReadonlyMap<string, Model>, engines: readonly ObservedEngine[]
): Array<{ readonly engine: ObservedEngine, readonly version: string }> {
  const isLoading = (engine: ObservedEngine): boolean => engine.loadingVersion !== undefined || engine.orderPending
  let permits = LOADS_AT_ONCE - engines.filter(isLoading).length
  const planned: Array<{ engine: ObservedEngine, version: string }> = []
  for (const model of models.values()) {
    const fleet = engines.filter(engine => engine.endpoint.model === model.name && engine.runningVersion !== undefined)
    let serving = fleet.filter(engine => !isLoading(engine)).length
    for (const engine of fleet) {
      if (engine.runningVersion === model.version || isLoading(engine)) continue
      if (permits <= 0 || serving - 1 < model.servingFloor) break
      permits -= 1
      serving -= 1
      planned.push({ engine, version: model.version })
    }
  }
  return planned
}
