/** RPC handlers for block lookups, leases and writes of stored objects in the shards that this directory owns. */
import { randomUUID } from 'node:crypto'
import type { DirectoryShard } from '@eelgrassmux/cache/DirectoryShard'
import type { ResidencyIndex } from '@eelgrassmux/cache/ResidencyIndex'
import {
  abandonWrite, leaseObjects, lookupBlocks, publishWrite, reserveWrite
} from '@eelgrassmux/rpc/methods/directoryMethods'
import type { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'

/** State of the directory that the handlers read. */
export interface DirectoryContext {
  /** Returns the shard if this directory owns it at that epoch and its ownership is currently confirmed. */
  shard (shard: number, epoch: number): DirectoryShard | undefined
  storeIsUp (store: string): boolean
}

const NOTHING_TO_WRITE = { kind: 'nothing-to-write' } as const
const WRONG_OWNER = { kind: 'wrong-owner' } as const

/** Handles the directory calls of entry hosts. */
export class DirectoryServer {
  /**
   * @param residency - index of the blocks in the engines' caches
   * @param context - shards and stores of this directory
   * @param answerCounter - counts answers by kind
   */
  constructor (
    private readonly residency: ResidencyIndex,
    private readonly context: DirectoryContext,
    private readonly answerCounter: LabelledCounter
  ) {}

  /** @param server - RPC server on which to register all methods */
  register (server: RpcServer): void {
    server.handle(lookupBlocks, async ({ shard, epoch, keys }) => {
      const resident = [...this.residency.leadingBlocks(keys)].map(([engine, blocks]) => ({ engine, blocks }))
      const owned = this.#ownedShard(shard, epoch)
      if (owned === undefined) return WRONG_OWNER
      this.answerCounter.count('lookup')
      const stored = []
      for (const { object, coversTo } of owned.coverage(keys)) {
        if (!this.context.storeIsUp(object.store)) break
        stored.push({ object: { ...object, keys: [...object.keys] }, coversTo })
      }
      return { kind: 'found', resident, stored }
    })
    server.handle(leaseObjects, async ({ shard, epoch, keys, fromBlock }) => {
      const owned = this.#ownedShard(shard, epoch)
      if (owned === undefined) return WRONG_OWNER
      this.answerCounter.count('lease')
      const leases = owned.lease(keys, fromBlock, randomUUID, performance.now())
      return { kind: 'leased', leases: leases.map(lease => ({ ...lease, object: { ...lease.object, keys: [...lease.object.keys] } })) }
    })
    server.handle(reserveWrite, async ({ shard, epoch, customer, store, keys, tokensPerBlock }) => {
      const owned = this.#ownedShard(shard, epoch)
      if (owned === undefined) return WRONG_OWNER
      const reservation = owned.reserve({ customer, store, keys, tokensPerBlock }, performance.now())
      this.answerCounter.count(reservation === undefined ? 'nothing-to-write' : 'reserve')
      if (reservation === undefined) return NOTHING_TO_WRITE
      return { kind: 'reserved' as const, name: reservation.name, keys: [...reservation.keys], tokens: reservation.tokens, firstBlock: reservation.firstBlock }
    })
    server.handle(publishWrite, async ({ shard, epoch, name, bytes, sha256, tier }) => {
      const owned = this.#ownedShard(shard, epoch)
      if (owned === undefined) return WRONG_OWNER
      const published = owned.publish(name, { bytes, sha256, tier }, performance.now())
      this.answerCounter.count(published ? 'publish' : 'lapsed')
      return { kind: published ? 'published' : 'lapsed' }
    })
    server.handle(abandonWrite, async ({ shard, epoch, name }) => {
      this.#ownedShard(shard, epoch)?.abandon(name)
      this.answerCounter.count('abandon')
      return {}
    })
  }

  #ownedShard (shard: number, epoch: number): DirectoryShard | undefined {
    const owned = this.context.shard(shard, epoch)
    if (owned === undefined) this.answerCounter.count('wrong-owner')
    return owned
  }
}
