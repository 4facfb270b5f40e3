/** Answers of the stand-in engine: a function of prompt and version, so that a mixed or cut answer is noticed. */
import { createHash } from 'node:crypto'

/**
 * Prepares the tokens of one answer.
 *
 * @param prompt - whole prompt
 * @param version - weight version
 * @returns a function from offset to token
 */
export function answerTokens (prompt: string, version: string): (offset: number) => string {
  const seed = createHash('sha256').update(JSON.stringify([version, prompt])).digest('hex')
  return offset => ` ${createHash('sha256').update(`${seed}/${offset}`).digest('hex').slice(0, 3)}`
}
