import { answerTokens } from '@eelgrassmux/standin/standinAnswer'
import type { StreamedAnswer } from './completionStream.js'

/**
 * Checks an answer against the tokens that the stand-in engine generates for the prompt.
 *
 * @param answer - received answer
 * @param prompt - prompt of the request
 * @param length - expected number of tokens
 * @returns whether the answer is complete and all its tokens belong to this prompt and one weight version
 */
export function isExpectedAnswer (answer: Pick<StreamedAnswer, 'isDone' | 'text' | 'version'>, prompt: string, length: number): boolean {
  const tokenAt = answerTokens(prompt, answer.version)
  const expected = Array.from({ length }, (_, offset) => tokenAt(offset)).join('')
  return answer.isDone && answer.text === expected
}
