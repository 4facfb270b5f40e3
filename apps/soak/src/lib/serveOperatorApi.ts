/** HTTP interface of a control host for the operator of the soak. */
import { H3, serve } from 'h3'
import { z } from 'zod'
import type { OperatorApi } from '@eelgrassmux/control/ControlDaemon'
import type { SiteService } from '@eelgrassmux/control/site/SiteService'
import { siteSchema } from '@eelgrassmux/schema/site/siteSchema'

const weightsSchema = z.strictObject({ model: z.string(), version: z.number().int() })

const evacuationSchema = z.strictObject({ dataCentre: z.string(), isEvacuated: z.boolean() })

const OK = 200
const UNAVAILABLE = 503

/**
 * Serves the operator interface on a free port.
 *
 * @param host - IP address to listen on
 * @param sites - service that executes the requests
 * @param isForgetful - acknowledges changes without putting them in force
 */
export async function serveOperatorApi (host: string, sites: SiteService, isForgetful: boolean): Promise<OperatorApi> {
  const app = new H3()
  app.put('/site', async event => {
    const source = new Uint8Array(await event.req.arrayBuffer())
    const site = siteSchema.parse(JSON.parse(Buffer.from(source).toString()))
    // The first site is always stored, because hosts serve nothing without a site.
    if (isForgetful && site.version > 1) return status(OK)
    return status((await sites.putSite(site, source)).kind === 'applied' ? OK : UNAVAILABLE)
  })
  app.put('/weights', async event => {
    const { model, version } = weightsSchema.parse(await event.req.json())
    if (isForgetful) return status(OK)
    return status((await sites.nameWeights(model, version)).kind === 'applied' ? OK : UNAVAILABLE)
  })
  app.put('/evacuations', async event => {
    const { dataCentre, isEvacuated } = evacuationSchema.parse(await event.req.json())
    if (isForgetful) return status(OK)
    return status((await sites.orderEvacuation(dataCentre, isEvacuated, () => false)).kind === 'applied' ? OK : UNAVAILABLE)
  })
  app.get('/site', async () => {
    const site = await sites.readSite()
    return site.kind === 'site' ? new Response(Buffer.from(site.source)) : status(site.kind === 'none' ? 404 : UNAVAILABLE)
  })
  const server = serve(app, { hostname: host, port: 0, gracefulShutdown: false, silent: true })
  await server.ready()
  const port = new URL(server.url ?? '').port
  return { address: `${host}:${port}`, close: async () => { await server.close(true) } }
}

function status (code: number): Response {
  return new Response(null, { status: code })
}
