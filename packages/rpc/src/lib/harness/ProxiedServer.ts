/** A server behind a proxy and a client without keepalive, for tests of connections that go silent. */
import { RpcClient } from '../RpcClient.js'
import { RpcServer } from '../RpcServer.js'
import { LoopbackProxy } from './LoopbackProxy.js'

/** Longer than any test runs, so that no keepalive ends a silent connection. */
const NO_KEEPALIVE_MS = 600_000

/** Register the methods before {@link ProxiedServer.listen}. */
export class ProxiedServer {
  readonly proxy = new LoopbackProxy()
  readonly server = new RpcServer()
  readonly client = new RpcClient({ keepaliveMs: NO_KEEPALIVE_MS })
  /** Address of the proxy. */
  address = ''

  /** Starts the server and the proxy. */
  async listen (): Promise<void> {
    this.address = await this.proxy.listen()
    this.proxy.target = await this.server.listen('127.0.0.1', 0)
  }

  /** Closes the client, the server and the proxy. */
  close (): void {
    this.client.close()
    this.server.close()
    this.proxy.close()
  }
}
