/** Hands a directory's shards over at a planned stop. */
import { setTimeout as sleep } from 'node:timers/promises'
import { lookupBlocks } from '@eelgrassmux/rpc/methods/directoryMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Shard } from '@eelgrassmux/state/commands'

/** Longest wait for new owners, and interval between looks, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 3000
const POLL_INTERVAL_MS = 50

/** Deadline of the question whether a new owner answers, in milliseconds. */
const PROBE_TIMEOUT_MS = 500

/**
 * Waits until other directories own all shards and answer for them, so that
 * look-ups find an owner throughout. That the view names another owner is not
 * enough: the view may not have reached it.
 *
 * @param rpc - client for calls to the new owners
 * @param shards - owners in the view of this directory, as of now
 * @param address - this directory
 * @returns whether all shards were taken over; false when the wait was given up
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
