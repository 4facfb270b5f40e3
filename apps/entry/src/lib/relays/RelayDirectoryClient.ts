/** Asks the leading control host about relays. */
import { checkRelayTicket, openRelays } from '@eelgrassmux/rpc/methods/relayMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { OpenedRelays, RelayDirectory } from './RelayHosts.js'

/** Timeout of a question, in milliseconds. */
const QUESTION_TIMEOUT_MS = 300

/** Dependencies of the client. */
export interface RelayDirectoryPorts {
  readonly rpc: Pick<RpcClient, 'call'>
  /** Returns the address of the leading control host, if known. */
  leader (): string | undefined
}

/** {@link RelayDirectory} over RPC. Control hosts that do not know the methods count as giving no answer. */
export class RelayDirectoryClient implements RelayDirectory {
  /**
   * @param host - returns the address of this host
   * @param ports - dependencies
   */
  constructor (private readonly host: () => string, private readonly ports: RelayDirectoryPorts) {}

  async open (): Promise<OpenedRelays | undefined> {
    const leader = this.ports.leader()
    if (leader === undefined) return undefined
    const answer = await this.ports.rpc.call(leader, openRelays, { host: this.host() }, QUESTION_TIMEOUT_MS)
    return answer.ok && answer.value.isTaken ? answer.value : undefined
  }

  async holderOf (ticket: string): Promise<string | undefined> {
    const leader = this.ports.leader()
    if (leader === undefined) return undefined
    const answer = await this.ports.rpc.call(leader, checkRelayTicket, { ticket }, QUESTION_TIMEOUT_MS)
    return answer.ok && answer.value.isTaken ? answer.value.host : undefined
  }
}
