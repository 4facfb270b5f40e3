/** Client of the streaming completion API. */
import { Agent, request, type Dispatcher } from 'undici'

/** Result of one streamed completion. */
export interface StreamedAnswer {
  readonly status: number
  readonly runId: string
  readonly text: string
  readonly tokens: number
  readonly version: string
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly firstTokenMs: number
  readonly isDone: boolean
  /** Body of an error response, data of the error event that ended the stream, or message of a connection error. */
  readonly problem: unknown
}

/** Parameters of a completion request. */
export interface CompletionCall {
  readonly url: string
  readonly credential: string
  readonly service: string
  readonly prompt: string
  readonly maxTokens: number
}

interface Chunk {
  readonly id: string
  readonly system_fingerprint: string
  readonly tokens: number
  readonly choices: ReadonlyArray<{ readonly text: string }>
  readonly usage?: { readonly prompt_tokens: number, readonly prompt_tokens_details: { readonly cached_tokens: number } }
}

const EMPTY_ANSWER: StreamedAnswer = {
  status: 0, runId: '', text: '', tokens: 0, version: '', promptTokens: 0, cachedTokens: 0, firstTokenMs: 0, isDone: false, problem: undefined
}

const agent = new Agent({ connections: 1024 })

/**
 * Streams a completion.
 *
 * @param call - parameters of the request
 * @param signal - aborts the request
 * @returns the answer; status 0 if there was no response
 */
export async function streamCompletion (call: CompletionCall, signal?: AbortSignal): Promise<StreamedAnswer> {
  return await readResponse(`${call.url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${call.credential}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: call.service, prompt: call.prompt, max_tokens: call.maxTokens, stream: true }),
    signal: signal ?? null
  })
}

/**
 * Resumes the stream of a run from an offset.
 *
 * @param url - URL of an entry host
 * @param credential - credential of the caller
 * @param runId - id of the run
 * @param offset - offset of the first token to read
 * @returns the answer from that offset; status 0 if there was no response
 */
export async function resumeCompletion (url: string, credential: string, runId: string, offset: number): Promise<StreamedAnswer> {
  return await readResponse(`${url}/v1/runs/${runId}?offset=${offset}`, { headers: { authorization: `Bearer ${credential}` } })
}

type CallOptions = Omit<Dispatcher.RequestOptions, 'origin' | 'path' | 'method'> & { method?: Dispatcher.HttpMethod }

async function readResponse (url: string, options: CallOptions): Promise<StreamedAnswer> {
  const startedAt = performance.now()
  try {
    const response = await request(url, { ...options, dispatcher: agent })
    if (response.statusCode !== 200) return { ...EMPTY_ANSWER, status: response.statusCode, problem: await response.body.json() }
    return await readAnswer(response.body, response.statusCode, startedAt)
  } catch (error) {
    return { ...EMPTY_ANSWER, problem: String(error) }
  }
}

async function readAnswer (body: AsyncIterable<Buffer>, status: number, startedAt: number): Promise<StreamedAnswer> {
  let answer: StreamedAnswer = { ...EMPTY_ANSWER, status }
  let pending = ''
  let isError = false
  try {
    for await (const bytes of body) {
      pending += bytes.toString()
      const lines = pending.split('\n')
      pending = lines.pop() ?? ''
      for (const line of lines) {
        if (line === 'event: error') isError = true
        if (!line.startsWith('data: ')) continue
        const data = line.slice('data: '.length)
        if (data === '[DONE]') answer = { ...answer, isDone: true }
        else if (isError) answer = { ...answer, problem: JSON.parse(data) }
        else answer = addChunk(answer, JSON.parse(data) as Chunk, startedAt)
      }
    }
  } catch (error) {
    return { ...answer, problem: String(error) }
  }
  return answer
}

function addChunk (answer: StreamedAnswer, chunk: Chunk, startedAt: number): StreamedAnswer {
  const { usage } = chunk
  return {
    ...answer,
    runId: chunk.id,
    version: chunk.system_fingerprint,
    text: answer.text + (chunk.choices[0]?.text ?? ''),
    tokens: answer.tokens + chunk.tokens,
    firstTokenMs: answer.firstTokenMs === 0 ? performance.now() - startedAt : answer.firstTokenMs,
    promptTokens: usage?.prompt_tokens ?? answer.promptTokens,
    cachedTokens: usage?.prompt_tokens_details.cached_tokens ?? answer.cachedTokens
  }
}
