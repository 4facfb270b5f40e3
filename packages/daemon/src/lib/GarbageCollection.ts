/** Collections of the heap at a moment that the program chooses. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

let collect: (() => void) | undefined

/** Collects the whole heap and returns free memory to the system. The process does nothing else meanwhile. */
export function collectGarbage (): void {
  collect ??= exposeCollection()
  collect()
}

/** The function exists only in contexts that are created after the flag was set. */
function exposeCollection (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}
