import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { EngineClient } from './EngineClient.js'
import { StoreClient } from './StoreClient.js'

const RUN = { run: 'a', prompt: 'p', maxTokens: 1, priority: 0, cacheSalt: '', expectedVersion: '1', produced: [] }
const ORDER = { fence: { term: 1, index: 1 }, order: { kind: 'load-version' as const, model: 'm', version: '2' } }
const TIMEOUT_MS = 1000

/** Outcome of a call: `ok`, or the kind of its error. */
type Call = (address: string) => Promise<string>

async function withEngine (address: string, call: (engine: EngineClient, signal: AbortSignal) => Promise<string>): Promise<string> {
  const engine = new EngineClient(address)
  try {
    return await call(engine, new AbortController().signal)
  } finally {
    await engine.close()
  }
}

async function withStore (address: string, call: (store: StoreClient) => Promise<string>): Promise<string> {
  const store = new StoreClient(address)
  try {
    return await call(store)
  } finally {
    await store.close()
  }
}

const outcomeOf = (result: { ok: true } | { ok: false, error: { kind: string } }): string => result.ok ? 'ok' : result.error.kind

const CALLS: Record<string, Call> = {
  'starting a run': async address => await withEngine(address, async (engine, signal) => outcomeOf(await engine.startRun(RUN, TIMEOUT_MS, signal))),
  'reading a run again': async address => await withEngine(address, async (engine, signal) => outcomeOf(await engine.resumeRun('a', 0, TIMEOUT_MS, signal))),
  'an order': async address => await withEngine(address, async engine => outcomeOf(await engine.sendOrder(ORDER, TIMEOUT_MS))),
  'listing a store': async address => await withStore(address, async store => outcomeOf(await store.list())),
  'removing from a store': async address => await withStore(address, async store => outcomeOf(await store.remove('x')))
}

const STOPS: ReadonlyArray<readonly [string, (socket: Socket) => void]> = [['ended', socket => { socket.end() }], ['reset', socket => { socket.resetAndDestroy() }]]
const FRAMINGS = ['content-length: 2', 'transfer-encoding: chunked', 'connection: close']

describe('a back end that stops inside the head of its answer', () => {
  let server: Server | undefined
  afterEach(() => { server?.close() })

  /** Starts a back end that writes the given bytes once it has read something, and then stops. */
  async function startBackend (bytes: string, stop: (socket: Socket) => void): Promise<string> {
    server?.close()
    const listening = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => { socket.write(bytes, () => { stop(socket) }) })
    })
    server = listening
    await new Promise<void>(resolve => { listening.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(listening.address() as AddressInfo).port}`
  }

  // Guards against engines and stores whose cut answer counts as a success, or as a statement that nothing was started.
  it.each(Object.entries(CALLS).flatMap(([name, call]) => STOPS.map(([how, stop]) => [name, how, call, stop] as const)))('loses %s (%s)', async (_name, _how, call, stop) => {
    for (const framing of FRAMINGS) {
      for (const status of ['200 OK', '503 Full']) {
        const head = `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\n${framing}\r\n\r\n`
        for (const share of [0.05, 0.5, 0.9, 1]) {
          const part = head.slice(0, Math.min(head.length - 1, Math.ceil(head.length * share)))
          expect([framing, status, share, await call(await startBackend(part, stop))]).toEqual([framing, status, share, 'lost'])
        }
      }
    }
  })
})
