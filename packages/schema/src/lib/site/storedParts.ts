/** Messages with which control hosts tell entry hosts which prompt parts stores hold. */
import { z } from 'zod'

/**
 * Delay that combines changes into one message, in milliseconds. A prompt recurs only
 * after seconds, while each message wakes each of 195 hosts and costs half a millisecond
 * of processor time on the host and as much again on the control host.
 */
export const STORED_PARTS_BATCH_MS = 250

/** A part, with the cache salt under which it was saved. */
export const storedPartSchema = z.tuple([z.string(), z.string()]).describe('cache salt and part id')

/** Changes at one store. */
export const storeChangeSchema = z.strictObject({
  store: z.string(),
  /** `whole`: `added` lists everything that the store holds; `delta`: `added` and `removed` list all changes; `lost`: the store does not respond and must not be used. */
  kind: z.enum(['whole', 'delta', 'lost']),
  added: z.array(storedPartSchema),
  removed: z.array(storedPartSchema)
})

/** One message of a watch. Between messages, status answers state that nothing has changed. */
export const storedPartsMessageSchema = z.strictObject({
  /** Identifies the incarnation of the process that numbers the changes. */
  incarnation: z.string(),
  /** Number of changes at all stores that the process has observed, up to the last one in this message. */
  version: z.int().min(0),
  changes: z.array(storeChangeSchema),
  /** Clock of stores and engines when the message was sent, in milliseconds; absent until a store or engine has stated it. */
  clockMs: z.number().optional()
})

export type StoredPart = z.infer<typeof storedPartSchema>
export type StoreChange = z.infer<typeof storeChangeSchema>
export type StoredPartsMessage = z.infer<typeof storedPartsMessageSchema>
