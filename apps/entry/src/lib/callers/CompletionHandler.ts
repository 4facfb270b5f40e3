/** Answers completion requests and requests to resume their runs. */
import type { ServerResponse } from 'node:http'
import { chatCompletionSchema, renderChatPrompt, textCompletionSchema } from '@eelgrassmux/schema/completions'
import type { Customer } from '@eelgrassmux/schema/configuration'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import { refuse, type Refusal } from '@eelgrassmux/schema/Refusal'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { parseRunId } from '@eelgrassmux/runs/RunRegistry'
import type { PeerRuns } from '../runs/PeerRuns.js'
import type { Run } from '../runs/Run.js'
import type { RunManager } from '../runs/RunManager.js'
import type { RunRequest } from '../runs/RunTask.js'
import { buildAnswer, type AnswerHeader, type CompletionForm } from './completionFormat.js'
import { parseJson, readBody, refuseUndispatched } from './readBody.js'
import { writeChunks } from './writeChunks.js'
import { writeRun } from './writeRun.js'

/** Largest body of a completion request. */
const MAX_BODY_BYTES = 8 * 1024 * 1024

interface ParsedCompletion {
  readonly service: string
  readonly stream: boolean
  readonly request: RunRequest
}

/** Serves `/v1/completions`, `/v1/chat/completions` and `/v1/runs/{id}`. */
export class CompletionHandler {
  /**
   * @param runs - runs of this host
   * @param peers - runs of other entry hosts
   * @param configuration - configuration in force
   */
  constructor (
    private readonly runs: RunManager,
    private readonly peers: PeerRuns,
    private readonly configuration: () => ConfigurationIndex
  ) {}

  /**
   * Starts a run and answers with its output.
   *
   * @param request - the caller's request
   * @param connection - response that a stream is written to
   * @param customer - authenticated customer
   * @param form - request form of the caller
   * @returns a response to send, undefined if a stream was written, or a refusal
   */
  async complete (
    request: Request, connection: ServerResponse, customer: Customer, form: CompletionForm
  ): Promise<Result<Response | undefined, Refusal>> {
    const bytes = await readBody(request, MAX_BODY_BYTES)
    if (!bytes.ok) return bytes
    const parsed = this.#parse(bytes.value, customer, form)
    if (!parsed.ok) return parsed
    const { service, stream } = parsed.value
    const disconnected = createDisconnectSignal(connection)
    const started = await this.runs.start(service, parsed.value.request, disconnected)
    if (!started.ok) return started
    const run = started.value
    // The status line is sent with the first token, so that an earlier failure can still be answered with an error status.
    await run.waitForStart(disconnected)
    if (run.end?.kind === 'failed' && run.length === 0) return fail(run.end.refusal)
    const header: AnswerHeader = {
      runId: run.id, form, service, version: run.version ?? '', createdSeconds: Math.floor(Date.now() / 1000)
    }
    if (!stream) return await this.#respondWithoutStream(run, header, disconnected)
    await writeRun(run, header, 0, connection)
    return succeed(undefined)
  }

  /**
   * Continues the answer of a run from an offset; reads it from another entry host if that host holds the run.
   *
   * @param connection - response that the stream is written to
   * @param customer - authenticated customer; runs of other customers are reported as unknown
   * @param runId - run id from the id or the header of the answer
   * @param query - `offset` of the first token and `form` of the events
   * @returns a response to send, undefined if a stream was written, or a refusal
   */
  async resume (
    connection: ServerResponse, customer: Customer, runId: string, query: URLSearchParams
  ): Promise<Result<Response | undefined, Refusal>> {
    const offset = Number(query.get('offset') ?? 0)
    if (!Number.isInteger(offset) || offset < 0) {
      return fail(refuseUndispatched({ reason: 'invalid-body', status: 400, detail: 'offset must be a whole number from 0', field: 'offset' }))
    }
    const form: CompletionForm = query.get('form') === 'chat' ? 'chat' : 'text'
    const unknown = refuseUndispatched({ reason: 'unknown-run', status: 404, detail: 'no such run, or it is not kept any more', field: 'run' })
    const parsed = parseRunId(runId)
    if (parsed === undefined) return fail(unknown)
    const header: AnswerHeader = { runId, form, service: '', version: '', createdSeconds: Math.floor(Date.now() / 1000) }
    const run = this.runs.find(runId, customer.name)
    if (run !== undefined) {
      await writeRun(run, { ...header, version: run.version ?? '' }, offset, connection)
      return succeed(undefined)
    }
    const disconnected = createDisconnectSignal(connection)
    const remote = await this.peers.read(parsed.entry, { runId, customer: customer.name, offset }, disconnected)
    if (remote === undefined) return fail({ ...unknown, run: 'unknown' })
    await writeChunks(remote, header, offset, connection)
    return succeed(undefined)
  }

  async #respondWithoutStream (run: Run, header: AnswerHeader, disconnected: AbortSignal): Promise<Result<Response, Refusal>> {
    for await (const chunk of run.read(0, disconnected)) {
      if (chunk.kind === 'failed') return fail(chunk.refusal)
      if (chunk.kind !== 'complete') continue
      const body = buildAnswer(header, run.tokens.join(''), chunk.finishReason, { ...chunk, completionTokens: run.length })
      return succeed(Response.json(body, { headers: { 'eelgrassmux-run-id': run.id } }))
    }
    return fail(refuse({ reason: 'endpoint-failed', status: 499, detail: 'the caller left' }, run.dispatch))
  }

  #parse (bytes: Uint8Array, customer: Customer, form: CompletionForm): Result<ParsedCompletion, Refusal> {
    const parsed = form === 'text' ? parseJson(bytes, textCompletionSchema) : parseJson(bytes, chatCompletionSchema)
    if (!parsed.ok) return parsed
    const body = parsed.value
    const prompt = 'prompt' in body ? body.prompt : renderChatPrompt(body)
    const { services, profiles } = this.configuration()
    const service = services.get(body.model)
    const profile = profiles.get(service?.profile ?? '')
    if (service?.type !== 'model' || profile === undefined) {
      return fail(refuseUndispatched({ reason: 'unknown-service', status: 404, detail: `there is no model service ${body.model}`, field: 'model' }))
    }
    const request: RunRequest = { customer, model: service.model, profile, prompt, maxTokens: body.max_tokens }
    return succeed({ service: service.name, stream: body.stream, request })
  }
}

/** Returns a signal that is aborted when the caller disconnects. */
function createDisconnectSignal (connection: ServerResponse): AbortSignal {
  const disconnected = new AbortController()
  connection.once('close', () => { disconnected.abort() })
  return disconnected.signal
}
