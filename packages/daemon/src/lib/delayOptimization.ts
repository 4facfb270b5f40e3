import { setFlagsFromString } from 'node:v8'

/**
 * Work after which V8 optimizes a function, in bytes of its bytecode that were run; three times the default.
 * A host that serves ten requests a second spends more on optimizing than it saves in its first minutes.
 */
const INTERRUPT_BUDGET_BYTES = 200_000

/**
 * Makes V8 optimize functions later. Call this once the program is loaded: V8 rejects cached code that was compiled
 * with other flags, that of Node.js itself as well.
 */
export function delayOptimization (): void {
  setFlagsFromString(`--interrupt-budget=${INTERRUPT_BUDGET_BYTES}`)
}
