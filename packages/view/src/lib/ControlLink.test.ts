import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { reportStatus, watchView } from '@eelgrassmux/rpc/methods/controlMethods'
import { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { listenOnSamePort } from '@eelgrassmux/rpc/listenOnSamePort'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import { ControlLink } from './ControlLink.js'

interface ControlHost {
  readonly address: string
  close (): void
}

/** Starts a control host that has applied a view; with view 0 it has none yet and sends nothing. */
async function controlHost (replicaId: string, appliedView: number, voters: readonly string[] = []): Promise<ControlHost> {
  const server = new RpcServer()
  const datagrams = new DatagramServer()
  datagrams.handle(reportStatus, () => ({
    replicaId,
    membership: { voters: voters.map(id => ({ id, address: '' })), learners: [] },
    membershipIndex: 1,
    newestView: appliedView,
    appliedView,
    leader: '',
    liveEntries: 1,
    entryPeers: [],
    watched: { incarnation: replicaId, endpointList: 0, listAgeMs: -1, storedParts: 0 }
  }))
  server.handleStream(watchView, async (_request, stream) => {
    if (appliedView > 0) await stream.send({ kind: 'snapshot', viewRevision: appliedView, revision: 1, documents: [], shards: [], weights: [] })
    await new Promise(resolve => { stream.signal.addEventListener('abort', resolve) })
  })
  const port = await listenOnSamePort(server, datagrams, '127.0.0.1', 0)
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.close()
      datagrams.close()
    }
  }
}

describe('ControlLink', () => {
  const closers: Array<() => void> = []

  async function openLink (controlAddresses: readonly string[]): Promise<ControlLink> {
    const rpc = new RpcClient()
    const datagrams = new DatagramClient()
    await datagrams.bind('127.0.0.1')
    const link = new ControlLink({ host: 'h', role: 'entry', address: '127.0.0.1:1', dataCentre: 'n', controlAddresses, freshnessMs: 3000 }, rpc, datagrams)
    closers.push(() => {
      link.stop()
      rpc.close()
      datagrams.close()
    })
    return link
  }

  afterEach(() => { for (const close of closers.splice(0)) close() })

  it('switches from a control host that lags to one that is up to date, before it has any view', async () => {
    const behind = await controlHost('a', 0)
    const caughtUp = await controlHost('b', 5)
    closers.push(behind.close, caughtUp.close)
    const link = await openLink([behind.address, caughtUp.address])
    link.start()
    for (let attempt = 0; attempt < 200 && link.viewRevision === 0; attempt += 1) await sleep(20)
    expect(link.viewRevision).toBe(5)
  })

  // Guards against entry hosts that ended while the platform had named no control hosts yet, and that took no later contacts.
  it('starts without contacts and follows the first control host that is named', async () => {
    const host = await controlHost('a', 5)
    closers.push(host.close)
    const contacts: string[] = []
    const link = await openLink(contacts)
    link.followStoredParts({ reset: () => {}, apply: () => {} })
    link.start()
    expect((await link.propose({ kind: 'expire' }, 60)).ok).toBe(false)
    contacts.push(host.address)
    for (let attempt = 0; attempt < 200 && link.viewRevision === 0; attempt += 1) await sleep(20)
    expect(link.viewRevision).toBe(5)
  })

  // Guards against hosts that served the old configuration of a single control host after a restart, while the group had no leader.
  it('counts a view as confirmed only once a majority of control hosts has confirmed it', async () => {
    const voters = ['a', 'b', 'c']
    const first = await controlHost('a', 5, voters)
    const second = await controlHost('b', 5, voters)
    closers.push(first.close, second.close)
    const alone = await openLink([first.address])
    const both = await openLink([first.address, second.address])
    alone.start()
    both.start()
    for (let attempt = 0; attempt < 200 && (!both.wasConfirmed || alone.viewRevision === 0); attempt += 1) await sleep(20)
    expect(both.wasConfirmed).toBe(true)
    expect(alone.viewRevision).toBe(5)
    expect(alone.wasConfirmed).toBe(false)
  })

  it('reports the event loop lag: infinite while the process loads, then the time that other work blocked it', async () => {
    const host = await controlHost('a', 5)
    closers.push(host.close)
    const link = await openLink([host.address])
    expect(link.eventLoopLagMs).toBe(Number.POSITIVE_INFINITY)
    link.start()
    expect(link.eventLoopLagMs).toBe(Number.POSITIVE_INFINITY)
    const blockedUntil = performance.now() + 400
    while (performance.now() < blockedUntil);
    await sleep(10)
    expect(link.eventLoopLagMs).toBeGreaterThan(100)
    expect(link.eventLoopLagMs).toBeLessThan(Number.POSITIVE_INFINITY)
  })
})
