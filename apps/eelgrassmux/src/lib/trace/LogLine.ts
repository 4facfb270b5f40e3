/** Schema of the log lines that the programs write. */
import { z } from 'zod'

const fieldSchema = z.union([z.string(), z.number(), z.boolean()])

/** Fields that are read from a line; the other fields of its context are the fields of the event. */
export const logLineSchema = z.object({
  context: z.looseObject({ event: z.string(), program: z.string().default(''), request: z.string().optional(), logLevel: z.number().optional() }),
  time: z.number().default(Number.NaN)
}).transform(({ context: { event, program, request, logLevel, ...rest }, time }) => ({
  /** Milliseconds since the Unix epoch by the clock of the writing host; NaN if the line has no time. */
  time,
  program,
  event,
  /** Request id from the caller; undefined for a line about the state of the process. */
  request,
  isFault: logLevel !== undefined && logLevel >= ERROR_LEVEL,
  fields: Object.fromEntries(Object.entries(rest).map(([name, value]) => [name, fieldSchema.catch(JSON.stringify(value)).parse(value)]))
}))

/** A parsed log line. */
export type LogLine = z.infer<typeof logLineSchema>

/** Numeric value of the `error` level in the log library. */
const ERROR_LEVEL = 50
