/** Answers of the stand-in engine. They depend only on prompt and weight version, so that tests can detect mixed or truncated answers. */
import { createHash } from 'node:crypto'

/**
 * Creates the function that computes the tokens of one answer.
 *
 * @param prompt - complete prompt
 * @param version - weight version
 * @returns a function that maps an offset to a token
 */
export function answerTokens (prompt: string, version: string): (offset: number) => string {
  const seed = createHash('sha256').update(JSON.stringify([version, prompt])).digest('hex')
  return offset => ` ${createHash('sha256').update(`${seed}/${offset}`).digest('hex').slice(0, 3)}`
}
