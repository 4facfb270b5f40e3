/** What a process holds in memory, for its log and its metrics. */
import { getHeapSpaceStatistics, getHeapStatistics } from 'node:v8'
import type { ChangeFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** What a program counts of its own; parts that it does not have are missing. */
export type HeldParts = Partial<Pick<ChangeFields<'memory'>, 'requestBodyBytes' | 'unfinishedResponseBytes' | 'slowReaderBytes' | 'connections' | 'requests'>>

/** Memory of a process, in bytes. */
export type MemoryBreakdown = Pick<ChangeFields<'memory'>, 'residentBytes' | 'heapBytes' | 'heapUsedBytes' | 'youngGenerationBytes' | 'externalBytes' | 'arrayBufferBytes'>

/** Spaces of the heap that make up its young generation. */
const YOUNG_SPACES: ReadonlySet<string> = new Set(['new_space', 'new_large_object_space'])

/** @returns what the process holds now */
export function readMemoryBreakdown (): MemoryBreakdown {
  const { rss, heapTotal, heapUsed, external, arrayBuffers } = process.memoryUsage()
  return {
    residentBytes: rss,
    heapBytes: heapTotal,
    heapUsedBytes: heapUsed,
    youngGenerationBytes: youngGenerationBytes(),
    externalBytes: external,
    arrayBufferBytes: arrayBuffers
  }
}

/** @returns most bytes that the heap may commit before the engine ends the process */
export function heapLimitBytes (): number {
  return getHeapStatistics().heap_size_limit
}

/**
 * Exports the memory of the process and its limit.
 *
 * @param telemetry - metrics
 * @param limitBytes - memory of the host in bytes; 0 if it is not known
 */
export function exportMemoryMetrics (telemetry: Telemetry, limitBytes: number): void {
  telemetry.gauge('memory_limit_bytes', 'Memory of the host, beyond which the process is killed; 0 if it is not known', () => limitBytes)
  telemetry.gauge('heap_limit_bytes', 'Heap at which the engine ends the process', heapLimitBytes)
  telemetry.gauge('memory_resident_bytes', 'Resident memory of the process', () => process.memoryUsage.rss())
  telemetry.gauge('young_generation_bytes', 'Committed memory of the young generation of the heap', youngGenerationBytes)
}

function youngGenerationBytes (): number {
  return getHeapSpaceStatistics().reduce((sum, space) => YOUNG_SPACES.has(space.space_name) ? sum + space.space_size : sum, 0)
}
