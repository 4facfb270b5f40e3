/** Small helpers shared by the stand-ins' HTTP servers. */
import { H3, HTTPError, serve, type H3Event } from 'h3'
import type { z } from 'zod'
import { portOf } from '@eelgrassmux/daemon/AdminServer'

/** A running stand-in. */
export interface RunningStandin {
  readonly address: string
  close (): Promise<void>
}

/**
 * Serves an app and returns where it listens.
 *
 * @param app - routes
 * @param host - IP number
 * @param port - port, 0 for a free one
 * @returns the running server
 */
export async function serveStandin (app: H3, host: string, port: number): Promise<RunningStandin> {
  const server = serve(app, { hostname: host, port, gracefulShutdown: false, silent: true })
  await server.ready()
  return { address: `${host}:${portOf(server.url)}`, close: async () => { await server.close(true) } }
}

/**
 * Reads and checks a JSON body.
 *
 * @param event - the request
 * @param schema - what the body must look like
 * @returns the checked body
 */
export async function readJson<Body> (event: H3Event, schema: z.ZodType<Body>): Promise<Body> {
  const parsed = schema.safeParse(await event.req.json())
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw new HTTPError({ status: 400, message: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` })
}

/**
 * @param status - HTTP status
 * @param reason - short stable reason
 * @returns an error answer
 */
export function errorAnswer (status: number, reason: string): Response {
  return Response.json({ error: reason }, { status })
}
