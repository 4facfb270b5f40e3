/** Methods that entry hosts serve to each other. */
import { z } from 'zod'
import { defineStream } from '../RpcMethod.js'

const count = z.number().int().min(0)

export const readRunRequestSchema = z.strictObject({ runId: z.string(), customer: z.string(), offset: count })

export const runEventSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('tokens'), offset: count, tokens: z.array(z.string()) }),
  z.strictObject({ kind: z.literal('end'), length: count, finishReason: z.enum(['stop', 'length']), promptTokens: count, cachedTokens: count }),
  z.strictObject({ kind: z.literal('failed'), reason: z.string(), detail: z.string() }),
  z.strictObject({ kind: z.literal('unknown-run') })
])

export const readRun = defineStream('/eelgrassmux.Entry/ReadRun', readRunRequestSchema, runEventSchema)

export type RunEvent = z.infer<typeof runEventSchema>
