import { answerTokens } from '@eelgrassmux/standin/standinAnswer'
import type { StreamedAnswer } from './completionStream.js'

/**
 * Checks an answer against what the stand-in engine must have said.
 *
 * @param answer - what came back
 * @param prompt - what was asked
 * @param length - tokens expected
 * @returns whether the answer is whole, of one version and the prompt's own
 */
export function isExpectedAnswer (answer: Pick<StreamedAnswer, 'isDone' | 'text' | 'version'>, prompt: string, length: number): boolean {
  const tokenAt = answerTokens(prompt, answer.version)
  const expected = Array.from({ length }, (_, offset) => tokenAt(offset)).join('')
  return answer.isDone && answer.text === expected
}
