/** Formats answers to callers as text or chat completions, either as one JSON body or as server-sent events. */
import type { RunChunk } from '../runs/Run.js'
import { toProblem } from './problem.js'

/** Request form that the caller used. */
export type CompletionForm = 'text' | 'chat'

/** Fields shared by all parts of one answer. */
export interface AnswerHeader {
  readonly runId: string
  readonly form: CompletionForm
  readonly service: string
  readonly version: string
  readonly createdSeconds: number
}

/** Token counts reported at the end of a complete answer. */
export interface AnswerUsage {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly completionTokens: number
}

/** Last event of a complete stream. */
export const STREAM_DONE = 'data: [DONE]\n\n'

/**
 * Builds the JSON body of a complete answer.
 *
 * @param header - shared fields
 * @param text - text of the answer
 * @param finishReason - why generation stopped
 * @param usage - token counts
 * @returns the JSON body
 */
export function buildAnswer (header: AnswerHeader, text: string, finishReason: string, usage: AnswerUsage): object {
  const choice = header.form === 'text'
    ? { index: 0, text, finish_reason: finishReason }
    : { index: 0, message: { role: 'assistant', content: text }, finish_reason: finishReason }
  return { ...commonFields(header, ''), choices: [choice], usage: usageBody(usage) }
}

/**
 * Renders a chunk of an answer as server-sent events.
 *
 * @param header - shared fields
 * @param chunk - tokens or the end
 * @param length - length of the answer so far, in tokens
 * @returns the serialized events; a failed run ends with an `error` event and without `[DONE]`
 */
export function renderChunk (header: AnswerHeader, chunk: RunChunk, length: number): string {
  switch (chunk.kind) {
    case 'tokens':
      return event({ ...commonFields(header, '.chunk'), offset: chunk.offset, tokens: chunk.tokens.length, choices: [deltaChoice(header, chunk.tokens.join(''), null)] })
    case 'complete': {
      const usage = { ...chunk, completionTokens: length }
      const last = { ...commonFields(header, '.chunk'), offset: length, tokens: 0, choices: [deltaChoice(header, '', chunk.finishReason)], usage: usageBody(usage) }
      return event(last) + STREAM_DONE
    }
    case 'failed':
      return `event: error\ndata: ${JSON.stringify(toProblem(chunk.refusal))}\n\n`
  }
}

function commonFields (header: AnswerHeader, suffix: string): object {
  const object = header.form === 'text' ? 'text_completion' : `chat.completion${suffix}`
  return { id: header.runId, object, created: header.createdSeconds, model: header.service, system_fingerprint: header.version }
}

function deltaChoice (header: AnswerHeader, text: string, finishReason: string | null): object {
  return header.form === 'text'
    ? { index: 0, text, finish_reason: finishReason }
    : { index: 0, delta: { content: text }, finish_reason: finishReason }
}

function usageBody ({ promptTokens, cachedTokens, completionTokens }: AnswerUsage): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens }
  }
}

function event (body: object): string {
  return `data: ${JSON.stringify(body)}\n\n`
}
