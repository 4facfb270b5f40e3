/** Schemas of completion requests, in the widely used chat and text completion format. */
import { z } from 'zod'

const sampling = {
  model: z.string().min(1).max(100),
  max_tokens: z.number().int().min(1).max(100_000).default(256),
  stream: z.boolean().default(false),
  temperature: z.number().min(0).max(2).optional(),
  top_p: z.number().min(0).max(1).optional(),
  seed: z.number().int().optional(),
  stop: z.union([z.string(), z.array(z.string()).max(4)]).optional(),
  user: z.string().optional(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).optional(),
  n: z.literal(1).optional()
}

/** Body of POST /v1/completions. */
export const textCompletionSchema = z.strictObject({ prompt: z.string().min(1), ...sampling })

/** Body of POST /v1/chat/completions. */
export const chatCompletionSchema = z.strictObject({
  messages: z.array(z.strictObject({
    role: z.enum(['system', 'user', 'assistant', 'tool']),
    content: z.string()
  })).min(1).max(10_000),
  ...sampling
})

export type TextCompletion = z.infer<typeof textCompletionSchema>
export type ChatCompletion = z.infer<typeof chatCompletionSchema>

/**
 * Renders chat messages as a prompt. Requests with equal leading messages get prompts
 * with an equal prefix, so that engines can reuse their prefix caches.
 *
 * @param request - chat request
 * @returns the prompt
 */
export function renderChatPrompt (request: ChatCompletion): string {
  const turns = request.messages.map(message => `<|${message.role}|>\n${message.content}\n`)
  return `${turns.join('')}<|assistant|>\n`
}
