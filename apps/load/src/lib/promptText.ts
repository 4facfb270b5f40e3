/** Generates prompt texts for traces. The same prompt id always gives the same text, and a shorter prompt is a prefix of a longer one. */
import { createHash } from 'node:crypto'
import { CHARACTERS_PER_TOKEN } from '@eelgrassmux/cache/blockKeys'
import type { TraceLine } from './trace.js'

const HASH_CHARACTERS = 64

/**
 * @param line - one request of a trace
 * @returns the prompt of the request
 */
export function promptText (line: TraceLine): string {
  const shared = fillerText(`${line.customer}/${line.service}`, Math.min(line.sharedTokens, line.promptTokens) * CHARACTERS_PER_TOKEN)
  const own = fillerText(line.promptId, line.promptTokens * CHARACTERS_PER_TOKEN - shared.length)
  return shared + own
}

function fillerText (seed: string, length: number): string {
  const parts: string[] = []
  for (let part = 0; part * HASH_CHARACTERS < length; part += 1) {
    parts.push(createHash('sha256').update(`${seed}#${part}`).digest('hex'))
  }
  return parts.join('').slice(0, length)
}
