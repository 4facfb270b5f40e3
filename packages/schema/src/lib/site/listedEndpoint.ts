/** Schema of endpoints in the platform's member list. */
import { z } from 'zod'

/** A model version that is loaded in an engine, according to the list. */
export const loadedModelSchema = z.strictObject({ model: z.string(), version: z.number().int().min(0) })

/** One endpoint of the list, which lags behind the actual state. */
export const listedEndpointSchema = z.strictObject({
  /** Unchanged across restarts. Together with {@link startedAtMs} it identifies one incarnation. */
  id: z.string(),
  /** Start of the incarnation on the endpoint's own clock, in Unix milliseconds; absent if unknown. */
  startedAtMs: z.number().int().optional(),
  service: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  slots: z.number().int().min(0),
  isLeaving: z.boolean(),
  /** Whether an order in progress keeps the endpoint from starting new work. */
  isBusy: z.boolean(),
  models: z.array(loadedModelSchema),
  /** Version of the endpoint's software; versions have no order. Absent if the endpoint states none. */
  software: z.string().optional(),
  /** Whether the endpoint has started recently and accepts few requests per second; absent if the endpoint does not state it. */
  isCold: z.boolean().optional()
})

export type LoadedModel = z.infer<typeof loadedModelSchema>
export type ListedEndpoint = z.infer<typeof listedEndpointSchema>
