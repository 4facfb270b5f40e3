import { z } from 'zod'

/** Schema of binary data. */
export const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'must be bytes')
