/**
 * Sends Raft messages to other replicas.
 *
 * Most messages are heartbeats of a leader and the answers to them, 33 per second for each
 * follower. A lost one is replaced by the next, so they are sent as datagrams. Over gRPC they
 * took a third of the processor time of an idle follower (0.03 of 0.09 s per second, with
 * separate processes on loopback). Messages that carry entries or a snapshot, or that are not
 * repeated, are sent as calls.
 */
import type { RaftMessage } from '@eelgrassmux/consensus/messages/raftMessages'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { exchangeRaft, sendRaftMessage, type RaftEnvelope } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'

/** Timeout of a call, in milliseconds. */
const CALL_TIMEOUT_MS = 1000

/** Sends messages without waiting for delivery. */
export class RaftSender {
  /**
   * @param datagrams - client for messages that tolerate loss
   * @param rpc - client for all other messages
   * @param onFailure - called with the reason when a call fails
   */
  constructor (
    private readonly datagrams: Pick<DatagramClient, 'tell'>,
    private readonly rpc: Pick<RpcClient, 'call'>,
    private readonly onFailure: (reason: string) => void
  ) {}

  /**
   * @param address - IP address and port of the replica
   * @param envelope - message with its sender and receiver
   */
  send (address: string, envelope: RaftEnvelope): void {
    if (isLossTolerant(envelope.message)) {
      this.datagrams.tell(address, sendRaftMessage, envelope)
      return
    }
    void this.rpc.call(address, exchangeRaft, envelope, CALL_TIMEOUT_MS).then(answer => {
      if (!answer.ok) this.onFailure(answer.error.kind)
    })
  }
}

/** Returns true if the message is short and is repeated after a loss. */
function isLossTolerant (message: RaftMessage): boolean {
  switch (message.kind) {
    case 'append-request': return message.entries.length === 0
    case 'append-response':
    case 'vote-request':
    case 'vote-response': return true
    case 'snapshot-request':
    case 'timeout-now': return false
  }
}
