/** Reads runs from other entry hosts, so that callers can resume a run through any host. */
import type { FinishReason } from '@eelgrassmux/runs/AnswerAssembler'
import { readRun, type RunEvent } from '@eelgrassmux/rpc/methods/entryMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { ResponseStream, RpcServer } from '@eelgrassmux/rpc/RpcServer'
import { DispatchRecord, refuse } from '@eelgrassmux/schema/Refusal'
import type { RunChunk } from './Run.js'
import type { RunManager } from './RunManager.js'

/** Time without an event after which the connection to the other host is checked, in milliseconds. */
const QUIET_MS = 500

/** Number of connections in a row that may go silent without an event before the host counts as unreachable. */
const MAX_SILENT_CONNECTIONS = 4

/** Run to read, its customer, and the offset to start at. */
export interface PeerRunRequest {
  readonly runId: string
  readonly customer: string
  readonly offset: number
}

/** Reads runs from the entry hosts that hold them. */
export class PeerRuns {
  /** @param rpc - RPC client */
  constructor (private readonly rpc: RpcClient) {}

  /**
   * @param entry - address of the entry host that holds the run
   * @param request - run to read
   * @param signal - aborted when the caller disconnects
   * @returns the chunks, or undefined if the host is unreachable or does not hold the run
   */
  async read (entry: string, request: PeerRunRequest, signal: AbortSignal): Promise<AsyncGenerator<RunChunk> | undefined> {
    const events = new PeerRunEvents(this.rpc, entry, request, signal)
    const next = async (): Promise<RunEvent | undefined> => await events.next()
    const first = await next()
    if (first === undefined || first.kind === 'unknown-run') return undefined
    return toChunks(first, next)
  }
}

/** Events of a run at another host. Continues over a new connection if the one in use goes silent. */
class PeerRunEvents {
  readonly #pending: RunEvent[] = []
  #nextOffset: number
  #isClosed = false
  #wake = (): void => {}

  /**
   * @param rpc - RPC client
   * @param entry - address of the entry host that holds the run
   * @param request - run to read
   * @param signal - aborted when the caller disconnects
   */
  constructor (private readonly rpc: RpcClient, private readonly entry: string, private readonly request: PeerRunRequest, private readonly signal: AbortSignal) {
    this.#nextOffset = request.offset
    void this.#receive()
  }

  /** @returns the next event, or undefined when the host has ended the stream or is unreachable */
  async next (): Promise<RunEvent | undefined> {
    while (this.#pending.length === 0 && !this.#isClosed) await new Promise<void>(resolve => { this.#wake = resolve })
    return this.#pending.shift()
  }

  async #receive (): Promise<void> {
    // A run may pause for longer; its host then answers the check of the connection.
    const quietTimer = setInterval(() => { this.rpc.expectMessage(this.entry) }, QUIET_MS)
    let silentConnections = 0
    const onEvent = (event: RunEvent): void => {
      quietTimer.refresh()
      silentConnections = 0
      if (event.kind === 'tokens') this.#nextOffset = event.offset + event.tokens.length
      this.#pending.push(event)
      this.#wake()
    }
    while (silentConnections < MAX_SILENT_CONNECTIONS && !this.signal.aborted) {
      const error = await this.rpc.stream(this.entry, readRun, { ...this.request, offset: this.#nextOffset }, onEvent, this.signal)
      if (error?.kind !== 'silent') break
      silentConnections += 1
    }
    clearInterval(quietTimer)
    this.#isClosed = true
    this.#wake()
  }
}

async function * toChunks (first: RunEvent, next: () => Promise<RunEvent | undefined>): AsyncGenerator<RunChunk> {
  for (let event: RunEvent | undefined = first; event !== undefined; event = await next()) {
    const chunk = toChunk(event)
    if (chunk === undefined) break
    yield chunk
    if (chunk.kind !== 'tokens') return
  }
  // The connection to the host was lost; the caller gets an explicit error instead of a truncated stream.
  yield failedChunk('the entry host that held the run went away')
}

function toChunk (event: RunEvent): RunChunk | undefined {
  switch (event.kind) {
    case 'tokens': return { kind: 'tokens', offset: event.offset, tokens: event.tokens }
    case 'end': return { kind: 'complete', finishReason: event.finishReason, promptTokens: event.promptTokens, cachedTokens: event.cachedTokens }
    case 'failed': return failedChunk(event.detail)
    case 'unknown-run': return undefined
  }
}

function failedChunk (detail: string): RunChunk {
  const record = new DispatchRecord()
  record.markDispatched()
  return { kind: 'failed', refusal: refuse({ reason: 'endpoint-failed', status: 502, detail, retryAfterSeconds: 1 }, record) }
}

/**
 * Serves this host's runs to other entry hosts.
 *
 * @param server - RPC server that registers the method
 * @param runs - runs of this host
 */
export function servePeerRuns (server: RpcServer, runs: RunManager): void {
  server.handleStream(readRun, async ({ runId, customer, offset }, stream) => {
    const run = runs.find(runId, customer)
    if (run === undefined) {
      await stream.send({ kind: 'unknown-run' })
      return
    }
    for await (const chunk of run.read(offset, stream.signal)) await sendChunk(stream, chunk, run.length)
  })
}

async function sendChunk (stream: ResponseStream<RunEvent>, chunk: RunChunk, length: number): Promise<void> {
  switch (chunk.kind) {
    case 'tokens':
      await stream.send({ kind: 'tokens', offset: chunk.offset, tokens: [...chunk.tokens] })
      break
    case 'complete': {
      const finishReason: FinishReason = chunk.finishReason
      await stream.send({ kind: 'end', length, finishReason, promptTokens: chunk.promptTokens, cachedTokens: chunk.cachedTokens })
      break
    }
    case 'failed':
      await stream.send({ kind: 'failed', reason: chunk.refusal.reason, detail: chunk.refusal.detail })
      break
  }
}
