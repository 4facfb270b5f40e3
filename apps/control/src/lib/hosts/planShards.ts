/** Assigns directory shards to directories. */
import { rendezvousOrder } from '@eelgrassmux/cache/rendezvous'
import type { Shard } from '@eelgrassmux/state/commands'

/**
 * Assigns shards by rendezvous hashing over the live directories, so that few shards move when a directory joins or leaves.
 *
 * @param shards - shards with their current owners
 * @param shardCount - configured number of shards
 * @param directories - addresses of live directories
 * @returns the new owners in shard order, or undefined if nothing changes
 */
export function planShards (shards: readonly Shard[], shardCount: number, directories: readonly string[]): string[] | undefined {
  // If no directory is alive, the last owners stay assigned.
  if (directories.length === 0) return undefined
  const owners = Array.from({ length: shardCount }, (_, shard) => rendezvousOrder(`shard-${shard}`, directories)[0] ?? '')
  const unchanged = owners.length === shards.length && owners.every((owner, shard) => shards[shard]?.owner === owner)
  return unchanged ? undefined : owners
}
