/**
 * Sends Raft messages to other replicas.
 *
 * Most messages are heartbeats of a leader and the answers to them, 33 per second for each
 * follower. A lost one is replaced by the next, so they are sent as datagrams. Over gRPC they
 * took a third of the processor time of an idle follower (0.03 of 0.09 s per second, with
 * separate processes on loopback). Messages that carry entries or a snapshot, or that are not
 * repeated, are sent as calls.
 */
import { sumCommandBytes } from '@eelgrassmux/consensus/RaftLog'
import type { RaftMessage } from '@eelgrassmux/consensus/messages/raftMessages'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { exchangeRaft, sendRaftMessage, type RaftEnvelope } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'

/** Timeout of a call without entries or a snapshot, in milliseconds. */
const CALL_TIMEOUT_MS = 500

/** Lowest rate at which entries and snapshots have to arrive, in bytes per millisecond; a slower connection is given up. */
const MINIMUM_BYTES_PER_MS = 500

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
   * @param onOutcome - called with the outcome of a call; not called for datagrams, whose loss is not noticed
   */
  send (address: string, envelope: RaftEnvelope, onOutcome: (isDelivered: boolean) => void): void {
    if (isLossTolerant(envelope.message)) {
      this.datagrams.tell(address, sendRaftMessage, envelope)
      return
    }
    void this.rpc.call(address, exchangeRaft, envelope, callTimeoutMs(envelope.message)).then(answer => {
      if (!answer.ok) this.onFailure(answer.error.kind)
      onOutcome(answer.ok)
    })
  }
}

/** Returns the timeout of a call, which grows with the bytes of the message. */
function callTimeoutMs (message: RaftMessage): number {
  const bytes = message.kind === 'append-request' ? sumCommandBytes(message.entries) : message.kind === 'snapshot-request' ? message.snapshot.state.length : 0
  return CALL_TIMEOUT_MS + bytes / MINIMUM_BYTES_PER_MS
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
