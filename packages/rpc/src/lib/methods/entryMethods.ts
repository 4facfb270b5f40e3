/** Methods that entry hosts serve to each other. */
import { z } from 'zod'
import { defineStream, defineUnary } from '../RpcMethod.js'

const count = z.number().int().min(0)

export const readRunRequestSchema = z.strictObject({ runId: z.string(), customer: z.string(), offset: count })

export const runEventSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('tokens'), offset: count, tokens: z.array(z.string()) }),
  z.strictObject({ kind: z.literal('end'), length: count, finishReason: z.enum(['stop', 'length']), promptTokens: count, cachedTokens: count }),
  z.strictObject({ kind: z.literal('failed'), reason: z.string(), detail: z.string() }),
  z.strictObject({ kind: z.literal('unknown-run') })
])

/** Prompts that a host has just sent to engines, so that its peers do not choose the same ones unseen. */
export const dispatchNoticeSchema = z.strictObject({
  dispatches: z.array(z.strictObject({ engine: z.string(), tokens: z.number().min(0), ageMs: z.number().min(0) }))
})

export const notifyDispatches = defineUnary('/eelgrassmux.Entry/NoticeDispatches', dispatchNoticeSchema, z.strictObject({}))
export const readRun = defineStream('/eelgrassmux.Entry/ReadRun', readRunRequestSchema, runEventSchema)

export type DispatchNotice = z.infer<typeof dispatchNoticeSchema>
export type RunEvent = z.infer<typeof runEventSchema>
