/** HTTP routes of the stand-in engine. */
import { H3, type H3Event } from 'h3'
import {
  exportRequestSchema, importRequestSchema, orderRequestSchema, runRequestSchema, type RunMessage
} from '@eelgrassmux/backends/engineProtocol'
import type { EngineStandin, EngineRefusal } from './EngineStandin.js'
import { errorAnswer, readJson } from './httpApp.js'

const REFUSAL_STATUS: Record<EngineRefusal, number> = {
  leaving: 503, full: 503, 'version-mismatch': 409, 'unknown-import': 409
}

/**
 * @param engine - engine that serves the requests
 * @param incarnation - number that distinguishes this start of the engine from earlier ones
 * @returns the routes
 */
export function engineRoutes (engine: EngineStandin, incarnation: number): H3 {
  const app = new H3()
  app.get('/load', () => engine.report())
  app.get('/cache/events', event => {
    const from = Number(event.url.searchParams.get('from'))
    const events = engine.cacheEvents(from)
    return events === undefined ? { kind: 'gap', incarnation } : { kind: 'events', incarnation, events }
  })
  app.get('/cache/blocks', () => ({ incarnation, ...engine.cacheListing() }))
  app.post('/runs', async event => {
    const request = await readJson(event, runRequestSchema)
    const refusal = engine.start(request)
    if (refusal !== undefined) return errorAnswer(REFUSAL_STATUS[refusal], refusal)
    return streamRun(event, engine, request.run, request.produced.length, true)
  })
  app.get('/runs/:run', event => {
    const run = event.context.params?.run ?? ''
    return streamRun(event, engine, run, Number(event.url.searchParams.get('from')), false)
  })
  app.delete('/runs/:run', event => {
    engine.cancel(event.context.params?.run ?? '')
    return { ok: true }
  })
  app.post('/imports', async event => {
    const result = await engine.stageImport(await readJson(event, importRequestSchema), event.req.signal)
    return 'error' in result ? errorAnswer(409, result.error) : result
  })
  app.delete('/imports/:id', event => {
    engine.discardImport(event.context.params?.id ?? '')
    return { ok: true }
  })
  app.post('/exports', async event => {
    const result = await engine.exportBlocks(await readJson(event, exportRequestSchema))
    return 'error' in result ? errorAnswer(409, result.error) : result
  })
  app.post('/orders', async event => {
    const isAccepted = engine.acceptOrder(await readJson(event, orderRequestSchema))
    return isAccepted ? { ok: true } : errorAnswer(409, 'stale-fence')
  })
  app.post('/standin/leave', () => {
    engine.startLeaving()
    return { ok: true }
  })
  app.get('/standin/orders', () => ({ taken: engine.acceptedOrderCount }))
  return app
}

function streamRun (event: H3Event, engine: EngineStandin, run: string, from: number, cancelOnDisconnect: boolean): Response {
  const messages = engine.read(run, from)
  if (messages === undefined) return errorAnswer(404, 'unknown-run')
  const encoder = new TextEncoder()
  const body = new ReadableStream<Uint8Array>({
    async pull (controller) {
      const next: IteratorResult<RunMessage> = await messages.next()
      if (next.done === true) controller.close()
      else controller.enqueue(encoder.encode(`data: ${JSON.stringify(next.value)}\n\n`))
    },
    async cancel () {
      await messages.return(undefined)
      if (cancelOnDisconnect) setTimeout(() => { engine.cancel(run) }, RECONNECT_GRACE_MS).unref()
    }
  })
  return new Response(body, { headers: { 'content-type': 'text/event-stream' } })
}

/** Time after a disconnect in which a reader can read the run again, in milliseconds. It is longer than any test needs. */
const RECONNECT_GRACE_MS = 3000
