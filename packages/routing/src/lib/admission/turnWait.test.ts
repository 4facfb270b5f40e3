import { describe, expect, it } from 'vitest'
import { isInTimeForTurn, mayWaitForTurn } from './turnWait.js'

describe('turnWait', () => {
  // Guards against requests that are read, kept and answered only at their deadline.
  it('refuses at once what would use up half of the deadline, or wait longer than another host would take', () => {
    expect(mayWaitForTurn(400, 1000)).toBe(true)
    expect(mayWaitForTurn(600, 1000)).toBe(false)
    expect(mayWaitForTurn(1900, undefined)).toBe(true)
    expect(mayWaitForTurn(2100, 30_000)).toBe(false)
  })

  it('begins what has waited longer than expected while half of the deadline is left', () => {
    expect(isInTimeForTurn(2400, 5000)).toBe(true)
    expect(isInTimeForTurn(2600, 5000)).toBe(false)
    expect(isInTimeForTurn(9000, undefined)).toBe(true)
  })
})
