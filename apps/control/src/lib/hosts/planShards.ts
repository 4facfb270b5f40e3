/** Chooses the owners of directory shards. */
import { rendezvousOrder } from '@eelgrassmux/cache/rendezvous'
import type { Shard } from '@eelgrassmux/state/commands'

/**
 * Plans owners so that few shards move: rendezvous hashing over live directories.
 *
 * @param shards - present owners
 * @param shardCount - number of shards wanted
 * @param directories - addresses of live directories
 * @returns the new owners in shard order, or undefined if nothing changes
 */
export function planShards (shards: readonly Shard[], shardCount: number, directories: readonly string[]): string[] | undefined {
  // With no directory alive the last owners stay; moving shards to nobody helps nobody.
  if (directories.length === 0) return undefined
  const owners = Array.from({ length: shardCount }, (_, shard) => rendezvousOrder(`shard-${shard}`, directories)[0] ?? '')
  const unchanged = owners.length === shards.length && owners.every((owner, shard) => shards[shard]?.owner === owner)
  return unchanged ? undefined : owners
}
