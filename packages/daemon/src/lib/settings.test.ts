import { describe, expect, it } from 'vitest'
import { z } from 'zod'
import { addressListSetting, commonSettingsShape, describeSettingErrors, flagName, integerSetting, environmentVariableName } from './settings.js'

const schema = z.object({ ...commonSettingsShape, control: addressListSetting, readLeaseMs: integerSetting(100, 1000) })

const errors = (given: Record<string, string>): string[] => {
  const parsed = schema.safeParse(given, { reportInput: true })
  return parsed.success ? [] : describeSettingErrors(parsed.error.issues).map(({ flag, message }) => `${flag} ${message}`)
}

describe('settings', () => {
  it('derives flag and environment variable from the name of a setting', () => {
    expect(flagName('readLeaseMs')).toBe('--read-lease-ms')
    expect(environmentVariableName('readLeaseMs')).toBe('EELGRASSMUX_READ_LEASE_MS')
  })

  it('accepts valid settings and fills in defaults', () => {
    const parsed = schema.parse({ dataCentre: 'hall-north', control: '10.0.0.1:1, 10.0.0.2:2', readLeaseMs: '500' })
    expect(parsed).toEqual({ host: '127.0.0.1', adminPort: 0, keptStories: 64, logLinesPerSecond: 200, memoryMb: 0, dataCentre: 'hall-north', control: ['10.0.0.1:1', '10.0.0.2:2'], readLeaseMs: 500 })
  })

  it('reports every setting that is missing or invalid', () => {
    expect(errors({ control: 'nowhere', readLeaseMs: 'soon' })).toEqual([
      '--data-centre is required',
      '--control nowhere is not an IP address and a port',
      '--read-lease-ms Invalid input: expected number, received NaN'
    ])
  })
})
