/** Checks whether a connection carries anything; every server answers it at once. */
import { z } from 'zod'
import { defineUnary } from '../RpcMethod.js'

const emptySchema = z.strictObject({})

export const ping = defineUnary('/eelgrassmux.Rpc/Ping', emptySchema, emptySchema)
