/** Methods by which entry hosts find other entry hosts that relay requests for them, and recognise each other. */
import { z } from 'zod'
import { defineUnary } from '../RpcMethod.js'

const MAX_NAME_LENGTH = 256

const nameSchema = z.string().max(MAX_NAME_LENGTH)

/** Most hosts that one answer names. */
export const MAX_RELAY_HOSTS = 8

export const openRelaysRequestSchema = z.strictObject({
  /** Name and address of the host that is partitioned. */
  host: nameSchema
})

export const openRelaysResponseSchema = z.strictObject({
  /** False if the control host is not the leader; the other fields are then empty. */
  isTaken: z.boolean(),
  /** Secret that proves to other hosts that a request comes from a host of this system. */
  ticket: nameSchema,
  /** Addresses of hosts to ask, in random order. */
  hosts: z.array(nameSchema).max(MAX_RELAY_HOSTS)
})

export const checkRelayTicketResponseSchema = z.strictObject({
  isTaken: z.boolean(),
  /** Host that holds the ticket; empty if nobody does. */
  host: nameSchema
})

export const openRelays = defineUnary('/eelgrassmux.Control/OpenRelays', openRelaysRequestSchema, openRelaysResponseSchema)
export const checkRelayTicket = defineUnary('/eelgrassmux.Control/CheckRelayTicket', z.strictObject({ ticket: nameSchema }), checkRelayTicketResponseSchema)

export type OpenRelaysRequest = z.infer<typeof openRelaysRequestSchema>
export type OpenRelaysResponse = z.infer<typeof openRelaysResponseSchema>
export type CheckRelayTicketResponse = z.infer<typeof checkRelayTicketResponseSchema>
