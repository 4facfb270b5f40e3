/** Endpoints as the platform's membership list states them. */
import { z } from 'zod'

/** Weights that an engine holds, as far as the list knows. */
export const heldModelSchema = z.strictObject({ model: z.string(), version: z.number().int().min(0) })

/** One endpoint of a list that lags behind. */
export const listedEndpointSchema = z.strictObject({
  /** Kept over restarts; together with {@link startedAtMs} it names one incarnation. */
  id: z.string(),
  /** Start of the incarnation on the endpoint's own clock, in Unix milliseconds; absent if it is not known. */
  startedAtMs: z.number().int().optional(),
  service: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  slots: z.number().int().min(0),
  isLeaving: z.boolean(),
  /** Whether an order under way keeps it from starting new work. */
  isBusy: z.boolean(),
  models: z.array(heldModelSchema),
  /** Whether it has started lately and takes few requests a second; absent if it does not say. */
  isCold: z.boolean().optional()
})

export type LoadedModel = z.infer<typeof heldModelSchema>
export type ListedEndpoint = z.infer<typeof listedEndpointSchema>
