/** What a prompt needs from around it. */
import type { RoutedFleet } from './RoutedFleet.js'

/** Surroundings of one routed request's prompt. */
export interface PromptPorts {
  readonly fleet: RoutedFleet
  /** Version of the weights that a model's engines should run. */
  desiredVersion (model: string): number
  /** Milliseconds within which a request may begin on weights of that version. */
  leftMsOn (model: string, version: number): number
  /** Whether what this host knows of stores may be acted on. */
  storesUsable (now: number): boolean
  /** The stores' clock in milliseconds, once it is known. */
  storeClockMs (now: number): number | undefined
}
