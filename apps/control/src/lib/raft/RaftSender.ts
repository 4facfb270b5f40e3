/**
 * Brings protocol messages to other replicas.
 *
 * Most are a leader's heartbeats and the answers to them, 33 a second for each follower. Losing one
 * costs nothing, since the next says the same, so they go as datagrams; over gRPC they were a third of
 * what a follower at rest spent (0.03 of 0.09 s of processor time a second, own processes on loopback). What carries
 * entries or a snapshot, or is said only once, is a call.
 */
import type { RaftMessage } from '@eelgrassmux/consensus/messages/raftMessages'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { exchangeRaft, sendRaftMessage, type RaftEnvelope } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'

/** Deadline of a call, in milliseconds. */
const CALL_MS = 1000

/** Sends without waiting. */
export class RaftSender {
  /**
   * @param datagrams - for short messages
   * @param rpc - for the others
   * @param onFailure - told why a call did not bring its message there
   */
  constructor (
    private readonly datagrams: Pick<DatagramClient, 'tell'>,
    private readonly rpc: Pick<RpcClient, 'call'>,
    private readonly onFailure: (reason: string) => void
  ) {}

  /**
   * @param address - IP number and port of the replica
   * @param envelope - message with its sender
   */
  send (address: string, envelope: RaftEnvelope): void {
    if (isRepeated(envelope.message)) {
      this.datagrams.tell(address, sendRaftMessage, envelope)
      return
    }
    void this.rpc.call(address, exchangeRaft, envelope, CALL_MS).then(answer => {
      if (!answer.ok) this.onFailure(answer.error.kind)
    })
  }
}

/** Whether the message is short, and said again if it is lost. */
function isRepeated (message: RaftMessage): boolean {
  switch (message.kind) {
    case 'append-request': return message.entries.length === 0
    case 'append-response':
    case 'vote-request':
    case 'vote-response': return true
    case 'snapshot-request':
    case 'timeout-now': return false
  }
}
