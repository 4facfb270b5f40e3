/**
 * Has the engine run WebAssembly as its baseline compiler leaves it.
 *
 * The HTTP client parses answers in WebAssembly. The optimizing compiler takes 0.2 s of processor time for that parser,
 * within the first second in which a host that has just started serves: as much as for all the rest of its
 * first 15 requests (own processes on loopback: 0.38 s in two seconds with it, 0.15 to 0.20 s without). Not
 * optimized, parsing takes some 6 microseconds an event, a fiftieth of what a host spends on one.
 */
import { setFlagsFromString } from 'node:v8'

/** Call once the program's code is loaded: kept code is only taken while the engine's flags are those that it was compiled with. */
export function useBaselineWebAssembly (): void {
  setFlagsFromString('--liftoff-only')
}
