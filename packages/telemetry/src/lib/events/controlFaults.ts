import { z } from 'zod'

/** Faults of a control host that do not end the process. */
export const controlFaults = {
  'write-lost-while-closing': z.strictObject({ message: z.string() })
}
