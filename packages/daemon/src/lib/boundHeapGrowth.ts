import { setFlagsFromString } from 'node:v8'
import { isYoungGenerationBounded } from './MemoryBudget.js'

/**
 * Growth of the old generation until it is collected again, in percent of what the last collection left: on hosts that bound their
 * young generation, and on larger ones. The engine's own choice is up to threefold where the machine has gigabytes.
 */
const BOUNDED_GROWTH_PERCENT = 50
const ROOMY_GROWTH_PERCENT = 100

/**
 * Bounds the garbage that the heap holds, which the engine otherwise sizes by the machine's memory. The limits on the sizes of the
 * heap have no effect after the start, and as flags of the command line they would have the engine reject cached code.
 * On small hosts the young generation keeps the size that it has when this is called, so call it as soon as the program is loaded.
 *
 * @param memoryMb - memory of the host in megabytes; 0 or not a number if it is not known
 */
export function boundHeapGrowth (memoryMb: number): void {
  const isBounded = isYoungGenerationBounded(memoryMb)
  if (isBounded) setFlagsFromString('--semi-space-growth-factor=1')
  setFlagsFromString(`--heap-growing-percent=${isBounded ? BOUNDED_GROWTH_PERCENT : ROOMY_GROWTH_PERCENT}`)
}
