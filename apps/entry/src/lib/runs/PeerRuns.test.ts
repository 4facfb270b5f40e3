import { EventEmitter, once } from 'node:events'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { LoopbackProxy } from '@eelgrassmux/rpc/harness/LoopbackProxy'
import { readRun } from '@eelgrassmux/rpc/methods/entryMethods'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import { PeerRuns } from './PeerRuns.js'
import type { RunChunk } from './Run.js'

const NO_KEEPALIVE_MS = 600_000

describe('PeerRuns', () => {
  let proxy: LoopbackProxy
  let server: RpcServer
  let rpc: RpcClient
  let address: string
  let tokens: string[]
  let isComplete: boolean
  const changes = new EventEmitter()

  beforeEach(async () => {
    proxy = new LoopbackProxy()
    server = new RpcServer()
    tokens = ['a', 'b']
    isComplete = false
    server.handleStream(readRun, async ({ offset }, stream) => {
      for (let sent = offset; !stream.signal.aborted;) {
        if (sent < tokens.length) await stream.send({ kind: 'tokens', offset: sent, tokens: tokens.slice(sent) })
        sent = tokens.length
        if (isComplete) return await stream.send({ kind: 'end', length: sent, finishReason: 'stop', promptTokens: 1, cachedTokens: 0 })
        await once(changes, 'change', { signal: stream.signal }).catch(() => {})
      }
    })
    address = await proxy.listen()
    proxy.target = await server.listen('127.0.0.1', 0)
    rpc = new RpcClient({ keepaliveMs: NO_KEEPALIVE_MS })
  })

  afterEach(() => {
    rpc.close()
    server.close()
    proxy.close()
  })

  // Guards against answers that stand still, and then break, although their run goes on at a host in reach.
  it('goes on with a run over a new connection when the one that it uses goes silent', async () => {
    const chunks = await new PeerRuns(rpc).read(address, { runId: 'r', customer: 'c', offset: 0 }, new AbortController().signal)
    const received: RunChunk[] = []
    for await (const chunk of chunks ?? []) {
      received.push(chunk)
      if (isComplete) continue
      proxy.silenceOpenConnections()
      tokens.push('c')
      isComplete = true
      changes.emit('change')
    }
    expect(received).toMatchObject([{ offset: 0, tokens: ['a', 'b'] }, { offset: 2, tokens: ['c'] }, { kind: 'complete' }])
  })

  // Guards against callers that wait for ever for a host that is cut off.
  it('ends the answer with an error when new connections are silent as well', async () => {
    const chunks = await new PeerRuns(rpc).read(address, { runId: 'r', customer: 'c', offset: 0 }, new AbortController().signal)
    const received: RunChunk[] = []
    for await (const chunk of chunks ?? []) {
      received.push(chunk)
      proxy.setFault('silence')
    }
    expect(received).toMatchObject([{ offset: 0, tokens: ['a', 'b'] }, { kind: 'failed' }])
  })
})
