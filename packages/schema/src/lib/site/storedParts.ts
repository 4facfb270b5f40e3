/** Prompt parts that stores hold, as control hosts tell entry hosts. */
import { z } from 'zod'

/** A part under the cache salt that it was saved with. */
export const storedPartSchema = z.tuple([z.string(), z.string()]).describe('cache salt and part id')

/** What changed at one store. */
export const storeChangeSchema = z.strictObject({
  store: z.string(),
  /** `whole`: `added` is all that it holds; `delta`: nothing else changed; `lost`: it does not answer and must not be used. */
  kind: z.enum(['whole', 'delta', 'lost']),
  added: z.array(storedPartSchema),
  removed: z.array(storedPartSchema)
})

/** One message of a watch. In between, status answers say that nothing has changed. */
export const storedPartsMessageSchema = z.strictObject({
  /** Names the life of the process that counts the changes. */
  incarnation: z.string(),
  /** Changes of all stores that the process has seen, up to the last one in this message. */
  version: z.int().min(0),
  changes: z.array(storeChangeSchema),
  /** Clock of stores and engines when the message was sent, in milliseconds; absent until one has stated it. */
  clockMs: z.number().optional()
})

export type StoredPart = z.infer<typeof storedPartSchema>
export type StoreChange = z.infer<typeof storeChangeSchema>
export type StoredPartsMessage = z.infer<typeof storedPartsMessageSchema>
