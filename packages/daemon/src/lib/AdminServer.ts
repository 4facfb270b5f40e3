/** HTTP server for operators' tools: health, readiness and metrics. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { handleClientErrors } from './ClientErrors.js'
import { MAX_SIDE_CONNECTIONS } from './sideConnections.js'
import { describeReason } from './StartWaits.js'
import { surviveAcceptErrors } from './surviveAcceptErrors.js'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Interval between attempts to open a port that is taken, in milliseconds. */
const RETRY_INTERVAL_MS = 1000

/** A running admin server. */
export interface AdminServer {
  /** Port that the server listens on, or that it opens as soon as it can. */
  readonly port: number
  close (): Promise<void>
}

type Handler = (request: IncomingMessage, response: ServerResponse) => unknown

/**
 * Starts the admin server. Its routes are loaded on the first request, since they load much of the
 * Node.js runtime that a host does not need for serving.
 *
 * No caller needs this port: if it can't be opened, the process serves without it and opens it later.
 *
 * @param host - IP address to listen on
 * @param port - port, 0 for any free port
 * @param telemetry - metrics to serve
 * @param isReady - returns whether the process accepts new work
 * @returns the running server
 */
export async function startAdminServer (
  host: string, port: number, telemetry: Telemetry, isReady: () => boolean
): Promise<AdminServer> {
  let handler: Promise<Handler> | undefined
  const server = createServer((request, response) => {
    handler ??= loadHandler(telemetry, isReady)
    handler.then(handle => handle(request, response)).catch((error: unknown) => {
      telemetry.logFault('admin-failed', { path: request.url ?? '', message: String(error) })
      response.destroy()
    })
  })
  handleClientErrors(server)
  server.maxConnections = MAX_SIDE_CONNECTIONS
  surviveAcceptErrors(server, telemetry, 'admin')
  let isClosed = false
  let retry: NodeJS.Timeout | undefined
  const startedAt = performance.now()
  const dependency = `admin port ${host}:${port}`
  const waitedMs = (): number => Math.round(performance.now() - startedAt)
  const openLater = (): void => {
    retry = setTimeout(() => {
      listenOnce(server, host, port).then(() => {
        if (isClosed) server.close()
        else telemetry.logStateChange('dependency-found', { dependency, waitedMs: waitedMs() })
      }, openLater)
    }, RETRY_INTERVAL_MS)
    if (isClosed) clearTimeout(retry)
  }
  await listenOnce(server, host, port).catch((error: unknown) => {
    telemetry.logStateChange('dependency-missing', { dependency, reason: describeReason(error), waitedMs: waitedMs() })
    openLater()
  })
  return {
    port: server.listening ? (server.address() as AddressInfo).port : port,
    close: async () => {
      isClosed = true
      clearTimeout(retry)
      await new Promise<void>(resolve => {
        server.close(() => { resolve() })
        server.closeAllConnections()
      })
    }
  }
}

async function listenOnce (server: Server, host: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

async function loadHandler (telemetry: Telemetry, isReady: () => boolean): Promise<Handler> {
  const { H3 } = await import('h3')
  const { toNodeHandler } = await import('h3/node')
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
  return toNodeHandler(app)
}

/**
 * @param url - URL of a server
 * @returns the port of the server
 */
export function portOf (url: string | undefined): number {
  return Number(new URL(url ?? 'http://127.0.0.1:0').port)
}
