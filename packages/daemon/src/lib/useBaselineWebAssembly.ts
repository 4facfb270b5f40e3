/**
 * Makes V8 run WebAssembly with its baseline compiler only.
 *
 * The HTTP client parses responses in WebAssembly. The optimizing compiler spends 0.2 s of processor time on
 * this parser during the first second after a start, as much as all other work for the first 15 requests
 * (on loopback, 0.38 s in two seconds with it and 0.15 to 0.20 s without). Without the optimization, parsing takes about
 * 6 microseconds per event, a fiftieth of what a host spends on an event.
 */
import { setFlagsFromString } from 'node:v8'

/** Call this after the program is loaded: V8 only accepts cached code while its flags are the same as when the code was compiled. */
export function useBaselineWebAssembly (): void {
  setFlagsFromString('--liftoff-only')
}
