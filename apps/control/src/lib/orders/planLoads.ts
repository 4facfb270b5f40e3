/** Decides which engines are ordered to load weights next. */

/** Desired weight version of a model, and the number of its engines that must keep serving. */
export interface LoadTarget {
  readonly name: string
  readonly version: string
  readonly servingFloor: number
}

/** Last observed state of an engine. */
export interface ObservedEngine<Endpoint extends { readonly model: string } = { readonly model: string }> {
  readonly endpoint: Endpoint
  /** Undefined while the engine does not answer. */
  readonly runningVersion: string | undefined
  readonly loadingVersion: string | undefined
  /** Whether an order was sent recently whose effect the engine does not report yet. */
  readonly orderPending: boolean
  /** The lowest ones are ordered first. It rises with the version or the time of the last load, so that targets which change often reach every engine. */
  readonly rank: number
}

/** Maximum number of concurrent weight loads. More than this slows down the weight store for all engines. */
export const MAX_CONCURRENT_LOADS = 2

/**
 * Plans the next orders within the limit of concurrent loads and the serving floor of each model.
 *
 * @param models - desired versions
 * @param engines - all configured engines
 * @param maxConcurrentLoads - number of engines that may load at the same time
 * @returns engines to order now, each with the version to load
 */
export function planLoads<Endpoint extends { readonly model: string }> (
  models: ReadonlyMap<string, LoadTarget>, engines: ReadonlyArray<ObservedEngine<Endpoint>>, maxConcurrentLoads = MAX_CONCURRENT_LOADS
): Array<{ readonly engine: ObservedEngine<Endpoint>, readonly version: string }> {
  const isLoading = (engine: ObservedEngine<Endpoint>): boolean => engine.loadingVersion !== undefined || engine.orderPending
  let permits = maxConcurrentLoads - engines.filter(isLoading).length
  const planned: Array<{ engine: ObservedEngine<Endpoint>, version: string }> = []
  for (const model of models.values()) {
    const fleet = engines.filter(engine => engine.endpoint.model === model.name && engine.runningVersion !== undefined).sort((left, right) => left.rank - right.rank)
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
