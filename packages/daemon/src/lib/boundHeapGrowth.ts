import { setFlagsFromString } from 'node:v8'

/**
 * Growth of the old generation until it is collected again, in percent of what the last collection left. The engine's own
 * choice is up to threefold where the machine has gigabytes, whatever the memory of the host is.
 */
const OLD_GENERATION_GROWTH_PERCENT = 50

/**
 * Bounds the garbage that the heap holds, which the engine otherwise sizes by the machine's memory. The limits on the sizes of the
 * heap have no effect after the start, and as flags of the command line they would have the engine reject cached code.
 * The young generation keeps the size that it has when this is called, so call it as soon as the program is loaded.
 */
export function boundHeapGrowth (): void {
  setFlagsFromString('--semi-space-growth-factor=1')
  setFlagsFromString(`--heap-growing-percent=${OLD_GENERATION_GROWTH_PERCENT}`)
}
