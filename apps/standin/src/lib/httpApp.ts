/** Helpers of the stand-ins' HTTP servers. */
import { H3, HTTPError, serve, type H3Event } from 'h3'
import type { z } from 'zod'
import { portOf } from '@eelgrassmux/daemon/AdminServer'

/** A running stand-in. */
export interface RunningStandin {
  readonly address: string
  close (): Promise<void>
}

/**
 * Starts an HTTP server and waits until it listens.
 *
 * @param app - routes to serve
 * @param host - IP address
 * @param port - port, 0 for a free one
 * @returns the running server
 */
export async function serveStandin (app: H3, host: string, port: number): Promise<RunningStandin> {
  const server = serve(app, { hostname: host, port, gracefulShutdown: false, silent: true })
  await server.ready()
  return { address: `${host}:${portOf(server.url)}`, close: async () => { await server.close(true) } }
}

/**
 * Reads and validates a JSON body.
 *
 * @param event - the request
 * @param schema - schema of the body
 * @returns the validated body
 * @throws HTTPError with status 400 and the first invalid field
 */
export async function readJson<Body> (event: H3Event, schema: z.ZodType<Body>): Promise<Body> {
  const parsed = schema.safeParse(await event.req.json())
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw new HTTPError({ status: 400, message: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` })
}

/**
 * @param status - HTTP status
 * @param reason - short, stable error code
 * @returns an error response
 */
export function errorAnswer (status: number, reason: string): Response {
  return Response.json({ error: reason }, { status })
}
