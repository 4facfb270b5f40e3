/** Sends lookups and writes to the owner of a prompt's directory shard. */
import { shardOf } from '@eelgrassmux/cache/rendezvous'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import {
  abandonWrite, leaseObjects, lookupBlocks, publishWrite, reserveWrite, type LeaseResponse, type LookupResponse
} from '@eelgrassmux/rpc/methods/directoryMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Shard } from '@eelgrassmux/state/commands'

/** Why a directory call failed. */
export type DirectoryError =
  | { readonly kind: 'no-owner' }
  | { readonly kind: 'wrong-owner' }
  | { readonly kind: 'silent' }

export type LookupFound = Extract<LookupResponse, { kind: 'found' }>
export type LeasesGranted = Extract<LeaseResponse, { kind: 'leased' }>

/** Reserved write of an object. */
export interface ReservedWrite {
  readonly name: string
  readonly keys: string[]
  readonly tokens: number
  readonly firstBlock: number
}

/** Deadline of a lookup, in milliseconds; the first token waits for the lookup. */
const LOOKUP_TIMEOUT_MS = 150

/** Deadline of calls that do not delay a first token, in milliseconds. */
const WRITE_TIMEOUT_MS = 2000

/** Directory client; takes the shard owners from the view in force. */
export class DirectoryClient {
  /**
   * @param rpc - RPC client
   * @param shards - returns the shards of the view in force
   */
  constructor (private readonly rpc: RpcClient, private readonly shards: () => readonly Shard[]) {}

  /**
   * @param keys - key chain of a prompt
   * @returns which blocks of the prompt engines and stores hold
   */
  async lookup (keys: readonly string[]): Promise<Result<LookupFound, DirectoryError>> {
    const owner = this.#owner(keys)
    if (owner === undefined) return fail({ kind: 'no-owner' })
    const answer = await this.rpc.call(owner.address, lookupBlocks, { ...owner.header, keys: [...keys] }, LOOKUP_TIMEOUT_MS)
    if (!answer.ok) return fail({ kind: 'silent' })
    return answer.value.kind === 'found' ? succeed(answer.value) : fail({ kind: 'wrong-owner' })
  }

  /**
   * @param keys - key chain of a prompt
   * @param fromBlock - index of the first block to lease
   * @returns leases on the stored objects that cover the prompt from that block on
   */
  async lease (keys: readonly string[], fromBlock: number): Promise<Result<LeasesGranted, DirectoryError>> {
    const owner = this.#owner(keys)
    if (owner === undefined) return fail({ kind: 'no-owner' })
    const answer = await this.rpc.call(owner.address, leaseObjects, { ...owner.header, keys: [...keys], fromBlock }, LOOKUP_TIMEOUT_MS)
    if (!answer.ok) return fail({ kind: 'silent' })
    return answer.value.kind === 'leased' ? succeed(answer.value) : fail({ kind: 'wrong-owner' })
  }

  /**
   * @param request - blocks to write, and the store to write them to
   * @returns the reservation, or undefined if everything is stored or being written
   */
  async reserve (
    request: { readonly customer: string, readonly store: string, readonly keys: readonly string[], readonly tokensPerBlock: number }
  ): Promise<ReservedWrite | undefined> {
    const owner = this.#owner(request.keys)
    if (owner === undefined) return undefined
    const { customer, store, keys, tokensPerBlock } = request
    const body = { ...owner.header, customer, store, keys: [...keys], tokensPerBlock }
    const answer = await this.rpc.call(owner.address, reserveWrite, body, WRITE_TIMEOUT_MS)
    return answer.ok && answer.value.kind === 'reserved' ? answer.value : undefined
  }

  /**
   * @param chain - complete key chain, which determines the shard
   * @param name - reserved object name
   * @param acknowledged - size, checksum and tier acknowledged by the store
   * @returns whether the object was published
   */
  async publish (
    chain: readonly string[], name: string, acknowledged: { readonly bytes: number, readonly sha256: string, readonly tier: 'memory' | 'disk' }
  ): Promise<boolean> {
    const owner = this.#owner(chain)
    if (owner === undefined) return false
    const answer = await this.rpc.call(owner.address, publishWrite, { ...owner.header, name, ...acknowledged }, WRITE_TIMEOUT_MS)
    return answer.ok && answer.value.kind === 'published'
  }

  /**
   * @param chain - complete key chain, which determines the shard
   * @param name - reserved object name that will not be written
   */
  async abandon (chain: readonly string[], name: string): Promise<void> {
    const owner = this.#owner(chain)
    if (owner !== undefined) await this.rpc.call(owner.address, abandonWrite, { ...owner.header, name }, WRITE_TIMEOUT_MS)
  }

  #owner (keys: readonly string[]): { address: string, header: { shard: number, epoch: number } } | undefined {
    const shards = this.shards()
    const root = keys[0]
    if (root === undefined || shards.length === 0) return undefined
    const shard = shardOf(root, shards.length)
    const owner = shards[shard]
    if (owner === undefined || owner.owner === '') return undefined
    return { address: owner.owner, header: { shard, epoch: owner.epoch } }
  }
}
