import { describe, expect, it } from 'vitest'
import { hostOfPrefix } from './hostOfPrefix.js'

describe('hostOfPrefix', () => {
  it.each([
    ['', undefined],
    ['  ', undefined],
    ['2026-05-04T03:02:01.123Z ', undefined],
    ['03:02:01.5 front-3 ', 'front-3'],
    ['2026-05-04 03:02:01,123 +0000 front-3 | ', 'front-3'],
    ['May  4 03:02:01 front-3 eelgrassmux-entry[71]: ', 'front-3'],
    ['Mon May 4 03:02:01 UTC 2026 [front-3] ', 'front-3'],
    ['front-3  | ', 'front-3'],
    ['1777863721.123 10.0.0.5 ', '10.0.0.5'],
    ['<14>1 2026-05-04T03:02:01Z front-3 - ', 'front-3']
  ])('of %j is %j', (prefix, host) => {
    expect(hostOfPrefix(prefix)).toBe(host)
  })
})
