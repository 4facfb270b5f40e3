/** Types of log lines, inferred from the catalogue. Types only: a running process checks nothing and loads no schema. */
import type { z } from 'zod'
import type { changeEvents } from './changeEvents.js'
import type { decisionEvents } from './decisionEvents.js'
import type { faultEvents } from './faultEvents.js'
import type { requestFields } from './requestFields.js'

/** Names of lines about a request. */
export type DecisionEvent = keyof typeof decisionEvents

/** Names of lines about what a process believes. */
export type ChangeEvent = keyof typeof changeEvents

/** Names of lines that an operator should look at. */
export type FaultEvent = keyof typeof faultEvents

/** What any decision may state. */
export type RequestFields = Readonly<z.infer<typeof requestFields>>

/** What a decision states. */
export type DecisionFields<Event extends DecisionEvent> = (typeof decisionEvents)[Event]['_zod']['output']

/** What a change states. */
export type ChangeFields<Event extends ChangeEvent> = (typeof changeEvents)[Event]['_zod']['output']

/** What a fault states. */
export type FaultFields<Event extends FaultEvent> = (typeof faultEvents)[Event]['_zod']['output']

/** Arguments for fields, which may be left out if none is required. */
export type FieldArguments<Fields> = Record<string, never> extends Fields ? [fields?: Fields] : [fields: Fields]
