import { EventEmitter, once } from 'node:events'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { ProxiedServer } from '@eelgrassmux/rpc/harness/ProxiedServer'
import { readRun } from '@eelgrassmux/rpc/methods/entryMethods'
import { PeerRuns } from './PeerRuns.js'
import type { RunChunk } from './Run.js'

describe('PeerRuns', () => {
  let holder: ProxiedServer
  let tokens: string[]
  let isComplete: boolean
  const changes = new EventEmitter()

  beforeEach(async () => {
    holder = new ProxiedServer()
    tokens = ['a', 'b']
    isComplete = false
    holder.server.handleStream(readRun, async ({ offset }, stream) => {
      for (let sent = offset; !stream.signal.aborted;) {
        if (sent < tokens.length) await stream.send({ kind: 'tokens', offset: sent, tokens: tokens.slice(sent) })
        sent = tokens.length
        if (isComplete) return await stream.send({ kind: 'end', length: sent, finishReason: 'stop', promptTokens: 1, cachedTokens: 0 })
        await once(changes, 'change', { signal: stream.signal }).catch(() => {})
      }
    })
    await holder.listen()
  })

  afterEach(() => { holder.close() })

  async function readRunOfHolder (): Promise<AsyncIterable<RunChunk> | RunChunk[]> {
    return await new PeerRuns(holder.client).read(holder.address, { runId: 'r', customer: 'c', offset: 0 }, new AbortController().signal) ?? []
  }

  // Guards against answers that stand still, and then break, although their run goes on at a host in reach.
  it('goes on with a run over a new connection when the one that it uses goes silent', async () => {
    const received: RunChunk[] = []
    for await (const chunk of await readRunOfHolder()) {
      received.push(chunk)
      if (isComplete) continue
      holder.proxy.silenceOpenConnections()
      tokens.push('c')
      isComplete = true
      changes.emit('change')
    }
    expect(received).toMatchObject([{ offset: 0, tokens: ['a', 'b'] }, { offset: 2, tokens: ['c'] }, { kind: 'complete' }])
  })

  // Guards against callers that wait for ever for a host that is cut off.
  it('ends the answer with an error when new connections are silent as well', async () => {
    const received: RunChunk[] = []
    for await (const chunk of await readRunOfHolder()) {
      received.push(chunk)
      holder.proxy.setFault('silence')
    }
    expect(received).toMatchObject([{ offset: 0, tokens: ['a', 'b'] }, { kind: 'failed' }])
  })
})
