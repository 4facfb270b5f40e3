/** Types of log lines, inferred from the catalogue. They exist only at compile time: a running process neither loads the schemas nor validates lines. */
import type { z } from 'zod'
import type { changeEvents } from './changeEvents.js'
import type { decisionEvents } from './decisionEvents.js'
import type { faultEvents } from './faultEvents.js'
import type { requestFields } from './requestFields.js'

/** Event names of lines about a request. */
export type DecisionEvent = keyof typeof decisionEvents

/** Event names of lines about a change of a process's state. */
export type ChangeEvent = keyof typeof changeEvents

/** Event names of lines about a fault that an operator should investigate. */
export type FaultEvent = keyof typeof faultEvents

/** Optional fields of every decision. */
export type RequestFields = Readonly<z.infer<typeof requestFields>>

/** Fields of a decision. */
export type DecisionFields<Event extends DecisionEvent> = (typeof decisionEvents)[Event]['_zod']['output']

/** Fields of a state change. */
export type ChangeFields<Event extends ChangeEvent> = (typeof changeEvents)[Event]['_zod']['output']

/** Fields of a fault. */
export type FaultFields<Event extends FaultEvent> = (typeof faultEvents)[Event]['_zod']['output']

/** Argument list for fields; the argument is optional if no field is required. */
export type FieldArguments<Fields> = Record<string, never> extends Fields ? [fields?: Fields] : [fields: Fields]
