import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { listHosts } from '@eelgrassmux/rpc/methods/controlMethods'
import { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { StoreChange } from '@eelgrassmux/schema/site/storedParts'
import { ControlLink } from './ControlLink.js'
import { FakeControlHost } from './harness/FakeControlHost.js'

/** Longer than any test runs, so that no keepalive ends a silent connection. */
const NO_KEEPALIVE_MS = 600_000

/** Time after which a test gives up, in milliseconds; it is no bound of the product. */
const GIVE_UP_MS = 12_000

const ENDPOINT: ListedEndpoint = {
  id: 'e1', service: 's', address: '127.0.0.1:1', dataCentre: 'n', slots: 1, isLeaving: false, isBusy: false, isCold: false, models: []
}

describe('a host whose open connections to control hosts go silent', () => {
  let hosts: FakeControlHost[]
  let link: ControlLink
  let rpc: RpcClient
  let datagrams: DatagramClient

  beforeEach(async () => {
    hosts = [new FakeControlHost('a'), new FakeControlHost('b')]
    for (const host of hosts) {
      await host.listen()
      host.applyView(5)
      host.list([ENDPOINT])
    }
    rpc = new RpcClient({ keepaliveMs: NO_KEEPALIVE_MS })
    datagrams = new DatagramClient()
    await datagrams.bind('127.0.0.1')
    link = new ControlLink({
      host: 'h', role: 'entry', address: '127.0.0.1:1', dataCentre: 'n', controlAddresses: hosts.map(({ address }) => address), freshnessMs: 3000, watchesEndpoints: true
    }, rpc, datagrams)
    link.start()
    await until(() => link.viewRevision === 5 && link.endpoints.length === 1)
    // Connections to all control hosts are open, as they are after a change of the leader.
    for (const { address } of hosts) await rpc.call(address, listHosts, {}, 1000)
  })

  afterEach(() => {
    link.stop()
    rpc.close()
    datagrams.close()
    for (const host of hosts) host.close()
  })

  async function until (isTrue: () => boolean): Promise<void> {
    for (const givesUpAt = performance.now() + GIVE_UP_MS; !isTrue() && performance.now() < givesUpAt;) await sleep(10)
  }

  function silenceAll (): void {
    for (const { proxy } of hosts) proxy.silenceOpenConnections()
  }

  // Guards against hosts that refuse what an acknowledged configuration allows until the keepalive of a dead connection runs out.
  it('gets a newer view over a new connection', async () => {
    silenceAll()
    for (const host of hosts) host.applyView(6)
    await until(() => link.viewRevision === 6)
    expect(link.viewRevision).toBe(6)
  })

  // Guards against requests to endpoints that have been listed as leaving for seconds.
  it('gets a newer endpoint list over a new connection', async () => {
    silenceAll()
    for (const host of hosts) host.list([{ ...ENDPOINT, isLeaving: true }])
    await until(() => link.endpoints[0]?.isLeaving === true)
    expect(link.endpoints[0]?.isLeaving).toBe(true)
  })

  // Guards against stores that are not read any more, or read for parts that they have freed.
  it('gets newer contents of the stores over a new connection', async () => {
    const changes: StoreChange[] = []
    const follower = link.followStoredParts({ reset: () => {}, apply: change => { changes.push(change) } })
    await until(() => follower.isLeaseValid(performance.now()))
    silenceAll()
    for (const host of hosts) host.changeStore({ store: 's', kind: 'lost', added: [], removed: [] })
    await until(() => changes.length > 0 && follower.isLeaseValid(performance.now()))
    expect(changes.at(-1)).toMatchObject({ store: 's', kind: 'lost' })
    expect(follower.isLeaseValid(performance.now())).toBe(true)
  })

  // Guards against a second silence that begins before the first was found out.
  it('gets newer views although the new connections go silent as well', async () => {
    for (const view of [6, 7, 8]) {
      silenceAll()
      for (const host of hosts) host.applyView(view)
      await sleep(150)
    }
    silenceAll()
    await until(() => link.viewRevision === 8)
    expect(link.viewRevision).toBe(8)
  })
})
