import { z } from 'zod'

/** What a process holds in memory, in bytes unless said otherwise. */
export const memoryFields = {
  residentBytes: z.number(),
  /** Heap that is committed. */
  heapBytes: z.number(),
  /** Part of the heap that is in use, garbage included. */
  heapUsedBytes: z.number(),
  youngGenerationBytes: z.number(),
  /** Memory outside the heap that its objects own, array buffers included. */
  externalBytes: z.number(),
  arrayBufferBytes: z.number(),
  requestBodyBytes: z.number().optional(),
  unfinishedResponseBytes: z.number().optional(),
  /** Bytes held for slow readers, and responses that wait for their callers. */
  slowReaderBytes: z.number().optional(),
  /** Number of open connections. */
  connections: z.number().optional(),
  /** Number of requests under way. */
  requests: z.number().optional()
}
