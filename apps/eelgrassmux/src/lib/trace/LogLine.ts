/** A log line as the programs write it. */
import { z } from 'zod'

const fieldSchema = z.union([z.string(), z.number(), z.boolean()])

/** What of a line is read; the rest of its context are the fields of its event. */
export const logLineSchema = z.object({
  context: z.looseObject({ event: z.string(), program: z.string().default(''), request: z.string().optional(), logLevel: z.number().optional() }),
  time: z.number().default(Number.NaN)
}).transform(({ context: { event, program, request, logLevel, ...rest }, time }) => ({
  /** Milliseconds since 1970 by the writer's clock; not a number if the line has none. */
  time,
  program,
  event,
  /** The caller's id; undefined for a change of what the process believes. */
  request,
  isFault: logLevel !== undefined && logLevel >= ERROR_LEVEL,
  fields: Object.fromEntries(Object.entries(rest).map(([name, value]) => [name, fieldSchema.catch(JSON.stringify(value)).parse(value)]))
}))

/** A line that was read. */
export type LogLine = z.infer<typeof logLineSchema>

/** Level of `error` in the log library. */
const ERROR_LEVEL = 50
