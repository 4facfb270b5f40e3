import { setFlagsFromString } from 'node:v8'

/**
 * Work after which the engine optimizes a function, in bytes of its code that were run; three times the default.
 * A host that serves ten requests a second spends more on optimizing than it gains in its first minutes.
 */
const INTERRUPT_BUDGET_BYTES = 200_000

/**
 * Has functions optimized later. Call once programs are loaded: the engine rejects compiled code that was kept
 * under other flags, that of Node.js itself as well.
 */
export function delayOptimization (): void {
  setFlagsFromString(`--interrupt-budget=${INTERRUPT_BUDGET_BYTES}`)
}
