/** Waits for the handover of a directory's shards during a graceful shutdown. */
import { setTimeout as sleep } from 'node:timers/promises'
import { lookupBlocks } from '@eelgrassmux/rpc/methods/directoryMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Shard } from '@eelgrassmux/state/commands'

/** Maximum wait for new owners, and interval between checks, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 3000
const POLL_INTERVAL_MS = 50

/** Deadline of the call that checks whether a new owner serves a shard, in milliseconds. */
const PROBE_TIMEOUT_MS = 500

/**
 * Waits until other directories own all shards of this directory and answer for
 * them, so that lookups always find an owner. A new owner in the view is not
 * enough, because the new owner may not have received that view yet.
 *
 * @param rpc - client for calls to the new owners
 * @param shards - returns the owners in this directory's current view
 * @param address - address of this directory
 * @returns true if all shards were taken over, false after {@link HAND_OVER_TIMEOUT_MS}
 */
export async function handOverShards (rpc: RpcClient, shards: () => readonly Shard[], address: string): Promise<boolean> {
  const remaining = new Set(shards().flatMap(({ owner }, shard) => owner === address ? [shard] : []))
  const deadline = performance.now() + HAND_OVER_TIMEOUT_MS
  while (performance.now() < deadline) {
    await Promise.all([...remaining].map(async shard => {
      if (await newOwnerAnswers(rpc, shard, shards()[shard], address)) remaining.delete(shard)
    }))
    if (remaining.size === 0) return true
    await sleep(POLL_INTERVAL_MS)
  }
  return false
}

async function newOwnerAnswers (rpc: RpcClient, shard: number, current: Shard | undefined, address: string): Promise<boolean> {
  if (current === undefined || current.owner === address || current.owner === '') return false
  const answer = await rpc.call(current.owner, lookupBlocks, { shard, epoch: current.epoch, keys: [] }, PROBE_TIMEOUT_MS)
  return answer.ok && answer.value.kind === 'found'
}
