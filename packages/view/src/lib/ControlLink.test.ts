import { setTimeout as sleep } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import { reportStatus, watchView } from '@eelgrassmux/rpc/methods/controlMethods'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import { ControlLink } from './ControlLink.js'

/** A control host that has applied a view, or none yet and then sends nothing. */
async function controlHost (replicaId: string, appliedView: number): Promise<{ readonly address: string, readonly server: RpcServer }> {
  const server = new RpcServer()
  server.handle(reportStatus, async () => ({
    replicaId, membership: { voters: [], learners: [] }, membershipIndex: 1, newestView: appliedView, appliedView, leader: '', liveEntries: 1, entryPeers: []
  }))
  server.handleStream(watchView, async (_request, stream) => {
    if (appliedView > 0) await stream.send({ kind: 'snapshot', viewRevision: appliedView, revision: 1, documents: [], shards: [], weights: [] })
    await new Promise(resolve => { stream.signal.addEventListener('abort', resolve) })
  })
  const port = await server.listen('127.0.0.1', 0)
  return { address: `127.0.0.1:${port}`, server }
}

describe('ControlLink', () => {
  it('leaves a control host that has not caught up for one that has, before it knows any view', async () => {
    const behind = await controlHost('a', 0)
    const caughtUp = await controlHost('b', 5)
    const rpc = new RpcClient()
    const link = new ControlLink({
      host: 'h', role: 'entry', address: '127.0.0.1:1', dataCentre: 'n', controlAddresses: [behind.address, caughtUp.address], freshnessMs: 3000
    }, rpc)
    link.start()
    for (let look = 0; look < 200 && link.viewRevision === 0; look += 1) await sleep(20)
    expect(link.viewRevision).toBe(5)
    link.stop()
    rpc.close()
    behind.server.close()
    caughtUp.server.close()
  })
})
