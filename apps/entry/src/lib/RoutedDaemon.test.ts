import { describe, expect, it } from 'vitest'
import { z } from 'zod'
import { routedSettingsShape } from './RoutedDaemon.js'

const schema = z.object(routedSettingsShape)
const GIVEN = { dataCentre: 'n', control: '10.0.0.1:7400' }

describe('routed settings', () => {
  it('accept a fractional retry budget, because platforms state their bounds as fractions too', () => {
    expect(schema.parse({ ...GIVEN, retrySlack: '55.8', retryRatio: '0.2' })).toMatchObject({ retrySlack: 55.8, retryRatio: 0.2 })
  })

  it.each([
    ['retryRatio', '1.5'], ['retrySlack', '-1'], ['retrySlack', 'many'], ['staleView', 'sometimes'], ['control', 'host:1'], ['keptStories', '0'], ['leaveOut', 'homes,luck']
  ])('refuse %s = %s and name it', (name, value) => {
    const parsed = schema.safeParse({ ...GIVEN, [name]: value })
    expect(parsed.success ? '' : parsed.error.issues[0]?.path[0]).toBe(name)
  })
})
