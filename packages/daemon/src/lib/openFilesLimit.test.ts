import { describe, expect, it } from 'vitest'
import { openFilesLimit } from './openFilesLimit.js'

describe('openFilesLimit', () => {
  it('reads the limit that holds', () => {
    expect(openFilesLimit('Limit   Soft Limit   Hard Limit   Units\nMax processes  10  10  processes\nMax open files            4100                 8200                 files\n')).toBe(4100)
  })

  it('is infinite where nothing is stated', () => {
    expect([openFilesLimit(''), openFilesLimit('Max open files   unlimited   unlimited   files')]).toEqual([Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY])
  })
})
