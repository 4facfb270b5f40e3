/** Memory that objects take; needs a process with `--expose-gc`. */
import type { Point } from './fit.js'

/**
 * @param sizes - of what is built
 * @param build - builds it
 * @returns bytes that each takes
 */
export function measureHeap (sizes: readonly number[], build: (size: number) => object): Point[] {
  return sizes.map(size => {
    const before = heapUsed()
    const built = build(size)
    const value = heapUsed() - before
    if (Object.keys(built).length < 0) throw new Error('unreachable: keeps the object alive')
    return { size, value }
  })
}

function heapUsed (): number {
  const { gc } = globalThis
  if (gc === undefined) throw new Error('run with --expose-gc')
  gc()
  gc()
  const { heapUsed: heap, external } = process.memoryUsage()
  return heap + external
}
