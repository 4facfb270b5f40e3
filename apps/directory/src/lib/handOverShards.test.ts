import { describe, expect, it } from 'vitest'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { succeed, type Result } from '@eelgrassmux/schema/Result'
import type { Shard } from '@eelgrassmux/state/commands'
import { handOverShards } from './handOverShards.js'

const SELF = 'self'
const OTHER = 'other'

/** A new owner that has not received the view yet and answers `wrong-owner` to the first lookups. */
class NewOwner {
  readonly answers: string[] = []

  constructor (private readonly wrongAnswerCount: number) {}

  async call (address: string, _method: unknown, { shard, epoch }: { shard: number, epoch: number }): Promise<Result<{ kind: string }, never>> {
    const kind = this.answers.length < this.wrongAnswerCount ? 'wrong-owner' : 'found'
    this.answers.push(`${address} ${shard} of ${epoch}: ${kind}`)
    return succeed({ kind })
  }
}

describe('handOverShards', () => {
  it('waits until the new owner answers for the shard, not only until the view names it', async () => {
    const owner = new NewOwner(2)
    const views: Shard[][] = [
      [{ owner: SELF, epoch: 1 }, { owner: OTHER, epoch: 1 }],
      [{ owner: SELF, epoch: 1 }, { owner: OTHER, epoch: 1 }],
      [{ owner: OTHER, epoch: 2 }, { owner: OTHER, epoch: 1 }]
    ]
    const shards = (): Shard[] => (views.length > 1 ? views.shift() : views[0]) ?? []
    expect(await handOverShards(owner as unknown as RpcClient, shards, SELF)).toBe(true)
    expect(owner.answers).toEqual(['other 0 of 2: wrong-owner', 'other 0 of 2: wrong-owner', 'other 0 of 2: found'])
  })

  it('makes no calls if the directory owns no shard', async () => {
    const owner = new NewOwner(0)
    expect(await handOverShards(owner as unknown as RpcClient, () => [{ owner: OTHER, epoch: 1 }], SELF)).toBe(true)
    expect(owner.answers).toEqual([])
  })
})
