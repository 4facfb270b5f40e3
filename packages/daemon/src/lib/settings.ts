/** Process settings: one schema defines the flags, environment variables, validation and types. */
import { isIPv4 } from 'node:net'
import { z } from 'zod'

/** Prefix of all environment variables. */
export const ENVIRONMENT_PREFIX = 'EELGRASSMUX_'

const PORT_PATTERN = /^\d{1,5}$/
const MAX_PORT = 65_535

/** An IP address and a port. */
export const addressSetting = z.string().refine(isAddress, 'must be an IP address and a port, such as 10.0.0.5:8000')

/** Addresses separated by commas. */
export const addressListSetting = z.string().transform((text, context) => {
  const addresses = text.split(',').map(part => part.trim()).filter(part => part !== '')
  for (const part of addresses) {
    if (!isAddress(part)) context.addIssue({ code: 'custom', message: `${part} is not an IP address and a port` })
  }
  return addresses
})

/**
 * Names separated by commas; an empty list by default.
 *
 * @param nameSchema - schema of one name
 */
export function listSetting<Name> (nameSchema: z.ZodType<Name, string>): z.ZodType<Name[], unknown> {
  const split = z.string().transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))
  return split.pipe(z.array(nameSchema)).default([])
}

/** An integer within inclusive bounds. */
export function integerSetting (min: number, max: number): z.ZodType<number, unknown> {
  return z.coerce.number().int().min(min).max(max)
}

/**
 * A duration in seconds, which may be fractional.
 *
 * @param fallback - value if the setting is missing or empty; a platform that knows no value may pass an empty string
 */
function secondsSetting (fallback: number): z.ZodType<number, unknown> {
  const seconds = z.coerce.number().min(0.1).max(86_400).default(fallback)
  return z.preprocess(given => given === '' ? undefined : given, seconds)
}

/** A time limit in milliseconds; infinite if the setting is missing or empty. */
export const durationLimitSetting: z.ZodType<number, unknown> = z.preprocess(
  given => given === '' ? undefined : given,
  z.coerce.number().min(1).default(Number.POSITIVE_INFINITY)
)

/** Default time from SIGTERM to SIGKILL, in seconds: the common default of orchestrators. */
const DEFAULT_STOP_GRACE_SECONDS = 30

/** How long a process may run after SIGTERM. */
export const stopGraceSetting = secondsSetting(DEFAULT_STOP_GRACE_SECONDS)
  .describe('how long the process may live after SIGTERM until it is killed, in seconds')

/** `true` or `false`. */
export const booleanSetting = z.enum(['true', 'false']).transform(text => text === 'true')

/** Settings that every daemon has. */
export const commonSettingsShape = {
  host: z.string().refine(text => isIPv4(text), 'must be an IP address').default('127.0.0.1').describe('IP number to listen on'),
  adminPort: integerSetting(0, 65535).default(0).describe('port of /healthz, /readyz and /metrics; 0 takes a free one'),
  keptStories: integerSetting(1, 1_000_000).default(64).describe('of requests that go well, the log keeps the story of one in so many; failures are always kept'),
  logLinesPerSecond: integerSetting(1, 100_000).default(200).describe('most lines about requests that the log takes a second'),
  memoryMb: z.coerce.number().min(0).max(1_000_000).default(0).describe('memory of this host in megabytes, beyond which the process is killed; if it is 0 or empty, 256 is assumed and the process is not watched'),
  dataCentre: z.string().regex(/^[a-z0-9-]+$/, 'must consist of lower-case letters, digits and dashes').describe('data centre this host stands in')
}

/** A setting that is missing or invalid. */
export interface SettingError {
  readonly flag: string
  readonly variable: string
  readonly message: string
}

/**
 * @param name - setting name in camel case
 * @returns the command line flag of the setting
 */
export function flagName (name: string): string {
  return `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`
}

/**
 * @param name - setting name in camel case
 * @returns the environment variable of the setting
 */
export function environmentVariableName (name: string): string {
  return ENVIRONMENT_PREFIX + name.replaceAll(/[A-Z]/g, letter => `_${letter}`).toUpperCase()
}

/**
 * @param issues - validation errors of the settings schema
 * @returns the errors, each with the flag and the environment variable of its setting
 */
export function describeSettingErrors (issues: readonly z.core.$ZodIssue[]): SettingError[] {
  return issues.map(issue => {
    const name = String(issue.path[0] ?? '')
    const isMissing = issue.code === 'invalid_type' && issue.input === undefined
    return { flag: flagName(name), variable: environmentVariableName(name), message: isMissing ? 'is required' : issue.message }
  })
}

/** Whether a connection to the address can be attempted; a number that no address or port has makes clients throw. */
function isAddress (text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(host) && PORT_PATTERN.test(port) && Number(port) <= MAX_PORT
}
