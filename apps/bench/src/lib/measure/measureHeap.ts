/** Measures the memory of objects; needs a process started with `--expose-gc`. */
import type { Point } from './fit.js'

/**
 * @param sizes - sizes to measure
 * @param build - builds an object of a size
 * @returns bytes of memory that the object takes at each size
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
  if (gc === undefined) throw new Error('measuring memory needs node --expose-gc')
  gc()
  gc()
  const { heapUsed: heap, external } = process.memoryUsage()
  return heap + external
}
