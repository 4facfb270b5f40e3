/** HTTP endpoint for operators' tools: health, readiness and metrics. */
import { H3, serve } from 'h3'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** A running admin server. */
export interface AdminServer {
  readonly port: number
  close (): Promise<void>
}

/**
 * Starts the admin server.
 *
 * @param host - IP number to listen on
 * @param port - port, 0 for a free one
 * @param telemetry - metrics to show
 * @param isReady - whether new work is welcome
 * @returns the running server
 */
export async function startAdminServer (
  host: string, port: number, telemetry: Telemetry, isReady: () => boolean
): Promise<AdminServer> {
  const app = new H3()
  app.get('/healthz', () => 'ok\n')
  app.get('/readyz', event => {
    if (isReady()) return 'ready\n'
    event.res.status = 503
    return 'not ready\n'
  })
  app.get('/metrics', async event => {
    event.res.headers.set('content-type', telemetry.registry.contentType)
    return await telemetry.registry.metrics()
  })
  const server = serve(app, { hostname: host, port, gracefulShutdown: false, silent: true })
  await server.ready()
  return { port: portOf(server.url), close: async () => { await server.close(true) } }
}

/**
 * @param url - where a server listens
 * @returns its port
 */
export function portOf (url: string | undefined): number {
  return Number(new URL(url ?? 'http://127.0.0.1:0').port)
}
