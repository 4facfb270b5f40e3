/**
 * Keys of KV cache blocks.
 *
 * A key chain starts with an HMAC of model and weight version under the customer's
 * secret. Different customers or versions therefore never share a key, and no one
 * can compute the keys of another customer. Engines receive the HMAC as cache salt
 * and compute the same chain.
 */
import { createHash, createHmac } from 'node:crypto'

/** Assumed characters per token where the engine's tokenizer is not available. */
export const CHARACTERS_PER_TOKEN = 4

/** Tokens in one cache block. */
export const TOKENS_PER_BLOCK = 64

/** Length to which a digest is truncated. */
const KEY_BYTES = 16

/** The scope within which prompts share a key chain. */
export interface CacheScope {
  readonly cacheSecret: string
  readonly model: string
  readonly version: string
}

/**
 * Derives the salt that separates customers and weight versions.
 *
 * @param scope - customer's secret, model and weight version
 * @returns salt, in hex
 */
export function cacheSalt (scope: CacheScope): string {
  const hmac = createHmac('sha256', scope.cacheSecret)
  hmac.update(JSON.stringify([scope.model, scope.version]))
  return hmac.digest('hex').slice(0, 2 * KEY_BYTES)
}

/**
 * Computes the keys of all complete blocks of a prompt.
 *
 * @param salt - from {@link cacheSalt}
 * @param prompt - complete prompt text
 * @returns one key per block, which identifies the block and all text before it
 */
export function blockKeys (salt: string, prompt: string): string[] {
  const blockCharacters = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN
  const keys: string[] = []
  let previous = salt
  for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
    const hash = createHash('sha256')
    hash.update(previous)
    hash.update('\n')
    hash.update(prompt.slice(end - blockCharacters, end))
    previous = hash.digest('hex').slice(0, 2 * KEY_BYTES)
    keys.push(previous)
  }
  return keys
}

/**
 * @param prompt - complete prompt text
 * @returns estimated length in tokens, rounded up
 */
export function tokenCount (prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)
}
