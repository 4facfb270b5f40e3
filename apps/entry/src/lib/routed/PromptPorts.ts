/** Dependencies of a prompt. */
import type { RoutedFleet } from './RoutedFleet.js'

/** Dependencies of one routed request's prompt. */
export interface PromptPorts {
  readonly fleet: RoutedFleet
  /** Version of the weights that a model's engines should run. */
  desiredVersion (model: string): number
  /** Milliseconds during which requests may still begin on weights of that version. */
  remainingMsForVersion (model: string, version: number): number
  /** Whether this host's knowledge of the stores is recent enough to use. */
  areStoresUsable (now: number): boolean
  /** Time on the stores' clock, in milliseconds; undefined until it is known. */
  storeClockMs (now: number): number | undefined
}
