/** Rendezvous hashing: a stable choice among nodes that moves little when nodes come and go. */
import { createHash } from 'node:crypto'

/**
 * Orders nodes for a key, best first.
 *
 * @param key - what is placed
 * @param nodes - candidate names
 * @returns the nodes by falling weight for this key
 */
export function rendezvousOrder (key: string, nodes: readonly string[]): string[] {
  const weighted = nodes.map(node => ({ node, weight: weightOf(key, node) }))
  weighted.sort((left, right) => right.weight - left.weight || (left.node < right.node ? -1 : 1))
  return weighted.map(({ node }) => node)
}

/**
 * Maps a key to one of a fixed number of shards.
 *
 * @param key - first block key of a chain
 * @param shardCount - number of shards, at least 1
 * @returns a shard number from 0
 */
export function shardOf (key: string, shardCount: number): number {
  return createHash('sha256').update(key).digest().readUInt32BE(0) % shardCount
}

function weightOf (key: string, node: string): number {
  return createHash('sha256').update(JSON.stringify([key, node])).digest().readUIntBE(0, 6)
}
