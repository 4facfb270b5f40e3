/** Rendezvous hashing: assigns keys to nodes so that few keys move when nodes are added or removed. */
import { createHash } from 'node:crypto'

/**
 * Orders nodes for a key, best first.
 *
 * @param key - key to assign
 * @param nodes - names of the candidate nodes
 * @returns the nodes in descending order of their weight for the key
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
