/** Encoding of commands in the log. The first byte says whether a command may change the view, so that this is known without decoding the command. */
import { decode, encode } from '@msgpack/msgpack'
import { stampedCommandSchema, type Command, type StampedCommand } from './commands.js'

const CHANGES_VIEW = 1
const KEEPS_VIEW = 0

/**
 * @param stamped - command with its timestamp
 * @returns log entry bytes
 */
export function encodeCommand (stamped: StampedCommand): Uint8Array {
  const body = encode(stamped, { ignoreUndefined: true })
  const bytes = new Uint8Array(body.length + 1)
  bytes[0] = changesView(stamped.command) ? CHANGES_VIEW : KEEPS_VIEW
  bytes.set(body, 1)
  return bytes
}

/**
 * @param bytes - log entry bytes
 * @returns the command with its timestamp
 */
export function decodeCommand (bytes: Uint8Array): StampedCommand {
  return stampedCommandSchema.parse(decode(bytes.subarray(1)))
}

/**
 * @param bytes - log entry bytes
 * @returns whether applying the command may increase the view revision
 */
export function mayChangeView (bytes: Uint8Array): boolean {
  return bytes[0] === CHANGES_VIEW
}

function changesView (command: Command): boolean {
  switch (command.kind) {
    case 'change-configuration':
    case 'assign-shards':
    case 'put-site':
    case 'name-weights':
    case 'change-quarantine':
    case 'expire-quarantine':
    case 'order-evacuation':
      return true
    default:
      return false
  }
}
