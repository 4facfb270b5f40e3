/** Schemas of the messages that are exchanged with model engines. */
import { z } from 'zod'

const nonNegativeInteger = z.number().int().min(0)

export const engineLoadSchema = z.object({
  incarnation: nonNegativeInteger,
  state: z.enum(['serving', 'leaving']),
  model: z.string(),
  version: z.string(),
  loadingVersion: z.string().optional(),
  running: nonNegativeInteger,
  maxRunning: z.number().int().min(1),
  queuedTokens: z.number().min(0),
  prefillTokensPerMs: z.number().positive(),
  meanRunMs: z.number().min(0),
  /** How long blocks had been unused when they were evicted; absent until the first eviction. */
  residenceSeconds: z.number().min(0).optional(),
  bytesPerToken: z.number().min(0),
  ageMs: z.number().min(0)
})

export const cacheEventSchema = z.object({ sequence: nonNegativeInteger, kind: z.enum(['stored', 'removed']), keys: z.array(z.string()) })

export const cacheEventsSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('events'), incarnation: nonNegativeInteger, events: z.array(cacheEventSchema) }),
  /** The engine no longer has the events from the requested sequence number. */
  z.object({ kind: z.literal('gap'), incarnation: nonNegativeInteger })
])

export const cacheListingSchema = z.object({ incarnation: nonNegativeInteger, nextSequence: nonNegativeInteger, keys: z.array(z.string()) })

export const runRequestSchema = z.object({
  run: z.string(),
  prompt: z.string(),
  maxTokens: z.number().int().min(1),
  priority: z.number().int(),
  cacheSalt: z.string(),
  expectedVersion: z.string(),
  /** Tokens of the answer that the caller already has; the run continues after them. */
  produced: z.array(z.string()),
  /** Staged import to use. The engine refuses the run if it does not know the import. */
  importId: z.string().optional()
})

export const runMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('tokens'), offset: nonNegativeInteger, tokens: z.array(z.string()), version: z.string() }),
  z.object({
    kind: z.literal('end'),
    length: nonNegativeInteger,
    finishReason: z.enum(['stop', 'length']),
    promptTokens: nonNegativeInteger,
    cachedTokens: nonNegativeInteger,
    version: z.string()
  })
])

export const importRequestSchema = z.object({
  importId: z.string(),
  objects: z.array(z.object({
    storeAddress: z.string(), name: z.string(), keys: z.array(z.string()), bytes: nonNegativeInteger, sha256: z.string()
  }))
})

export const importResponseSchema = z.object({ bytes: nonNegativeInteger })

export const exportRequestSchema = z.object({
  storeAddress: z.string(),
  name: z.string(),
  customer: z.string(),
  keys: z.array(z.string()),
  tokens: nonNegativeInteger,
  /** Index of the first block in its chain. */
  firstBlock: nonNegativeInteger
})

export const exportResponseSchema = z.object({ bytes: nonNegativeInteger, sha256: z.string(), tier: z.enum(['memory', 'disk']) })

export const orderRequestSchema = z.object({
  fence: z.object({ term: nonNegativeInteger, index: nonNegativeInteger }),
  order: z.object({ kind: z.literal('load-version'), model: z.string(), version: z.string() })
})

export const okSchema = z.object({ ok: z.literal(true) })

export type EngineReport = z.infer<typeof engineLoadSchema>
export type CacheEvents = z.infer<typeof cacheEventsSchema>
export type CacheListing = z.infer<typeof cacheListingSchema>
export type RunRequest = z.infer<typeof runRequestSchema>
export type RunMessage = z.infer<typeof runMessageSchema>
export type ImportRequest = z.infer<typeof importRequestSchema>
export type ExportRequest = z.infer<typeof exportRequestSchema>
export type ExportResponse = z.infer<typeof exportResponseSchema>
export type OrderRequest = z.infer<typeof orderRequestSchema>
