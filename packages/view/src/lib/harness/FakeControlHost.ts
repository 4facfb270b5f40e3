/** A control host for tests: one voter behind a proxy, with a view, an endpoint list and stored parts that tests change. */
import { EventEmitter } from 'node:events'
import { LoopbackProxy } from '@eelgrassmux/rpc/harness/LoopbackProxy'
import { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { listenOnSamePort } from '@eelgrassmux/rpc/listenOnSamePort'
import { reportStatus, watchEndpoints, watchStoredParts, watchView } from '@eelgrassmux/rpc/methods/controlMethods'
import { RpcServer, type ResponseStream } from '@eelgrassmux/rpc/RpcServer'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { StoreChange } from '@eelgrassmux/schema/site/storedParts'

/** Serves status reports and watches. */
export class FakeControlHost {
  readonly proxy = new LoopbackProxy()
  readonly #server = new RpcServer()
  readonly #datagrams = new DatagramServer()
  readonly #changes = new EventEmitter()
  #view = 0
  #list: { readonly version: number, readonly endpoints: readonly ListedEndpoint[] } = { version: 0, endpoints: [] }
  readonly #storeChanges: StoreChange[] = []
  address = ''

  /** @param replicaId - id of the only voter */
  constructor (private readonly replicaId: string) {
    this.#changes.setMaxListeners(0)
  }

  /** Starts to serve behind the proxy. */
  async listen (): Promise<void> {
    this.address = await this.proxy.listen()
    this.#datagrams.handle(reportStatus, () => ({
      replicaId: this.replicaId,
      membership: { voters: [{ id: this.replicaId, address: this.address }], learners: [] },
      membershipIndex: 1,
      newestView: this.#view,
      appliedView: this.#view,
      leader: this.address,
      liveEntries: 1,
      entryPeers: [],
      watched: { incarnation: this.replicaId, endpointList: this.#list.version, listAgeMs: 0, storedParts: this.#storeChanges.length }
    }))
    this.#server.handleStream(watchView, async ({ viewRevision }, stream) => {
      await this.#follow(stream, viewRevision, () => this.#view, viewRevision => ({ kind: 'snapshot' as const, viewRevision, revision: 1, documents: [], shards: [], weights: [] }))
    })
    this.#server.handleStream(watchEndpoints, async (_request, stream) => {
      await this.#follow(stream, -1, () => this.#list.version, version => ({ incarnation: this.replicaId, version, endpoints: [...this.#list.endpoints], readAgeMs: 0 }))
    })
    this.#server.handleStream(watchStoredParts, async (_request, stream) => {
      let sent = 0
      await this.#follow(stream, -1, () => this.#storeChanges.length, version => {
        const changes = this.#storeChanges.slice(sent, version)
        sent = version
        return { incarnation: this.replicaId, version, changes }
      })
    })
    this.proxy.target = await listenOnSamePort(this.#server, this.#datagrams, '127.0.0.1', 0)
  }

  /** @param view - view that this control host applies */
  applyView (view: number): void {
    this.#view = view
    this.#changes.emit('change')
  }

  /** @param endpoints - endpoints that the platform lists from now on */
  list (endpoints: readonly ListedEndpoint[]): void {
    this.#list = { version: this.#list.version + 1, endpoints }
    this.#changes.emit('change')
  }

  /** @param change - change of a store's contents */
  changeStore (change: StoreChange): void {
    this.#storeChanges.push(change)
    this.#changes.emit('change')
  }

  /** Stops the server and the proxy. */
  close (): void {
    this.#server.close()
    this.#datagrams.close()
    this.proxy.close()
  }

  async #follow<Response> (stream: ResponseStream<Response>, known: number, current: () => number, toMessage: (version: number) => Response): Promise<void> {
    let sent = known
    while (!stream.signal.aborted) {
      if (current() > sent) {
        sent = current()
        await stream.send(toMessage(sent))
        continue
      }
      await new Promise<void>(resolve => {
        this.#changes.once('change', resolve)
        stream.signal.addEventListener('abort', () => { resolve() }, { once: true })
      })
    }
  }
}
