/** Decides which engines are ordered to load weights next. */

/** What a model's engines should run, and how many of them must go on serving. */
export interface LoadTarget {
  readonly name: string
  readonly version: string
  readonly servingFloor: number
}

/** An engine as last observed. */
export interface ObservedEngine<Endpoint extends { readonly model: string } = { readonly model: string }> {
  readonly endpoint: Endpoint
  /** Undefined while it does not answer. */
  readonly runningVersion: string | undefined
  readonly loadingVersion: string | undefined
  /** An order sent lately that its reports do not show yet. */
  readonly orderPending: boolean
}

/** Weight loads allowed at once: the weight store slows down for everybody beyond this. */
export const MAX_CONCURRENT_LOADS = 2

/**
 * Plans the next orders under the permits and each model's serving floor.
 *
 * @param models - desired versions
 * @param engines - all configured engines
 * @param maxConcurrentLoads - engines that may load at the same time
 * @returns engines to order now, each with the version to load
 */
export function planLoads<Endpoint extends { readonly model: string }> (
  models: ReadonlyMap<string, LoadTarget>, engines: ReadonlyArray<ObservedEngine<Endpoint>>, maxConcurrentLoads = MAX_CONCURRENT_LOADS
): Array<{ readonly engine: ObservedEngine<Endpoint>, readonly version: string }> {
  const isLoading = (engine: ObservedEngine<Endpoint>): boolean => engine.loadingVersion !== undefined || engine.orderPending
  let permits = maxConcurrentLoads - engines.filter(isLoading).length
  const planned: Array<{ engine: ObservedEngine<Endpoint>, version: string }> = []
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
