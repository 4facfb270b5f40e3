import { describe, expect, it } from 'vitest'
import { parseRetryAfter } from './parseRetryAfter.js'

describe('readRetryAfter', () => {
  const now = Date.parse('Thu, 01 Jan 2026 00:00:00 GMT')

  it.each([['3', 3000], [' 0.25 ', 250], ['Thu, 01 Jan 2026 00:00:02 GMT', 2000]])('reads "%s"', (text, milliseconds) => {
    expect(parseRetryAfter(text, now)).toBe(milliseconds)
  })

  it.each([[undefined], [''], ['0'], ['-1'], ['soon'], ['1e9x'], ['Wed, 31 Dec 2025 23:59:59 GMT']])('takes "%s" for no pause', text => {
    expect(parseRetryAfter(text, now)).toBeUndefined()
  })

  it('has an end, whatever is asked for', () => {
    expect(parseRetryAfter('99999999999', now)).toBe(300_000)
    expect(parseRetryAfter('9'.repeat(400), now)).toBeUndefined()
  })
})
