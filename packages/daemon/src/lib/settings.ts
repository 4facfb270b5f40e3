/** Process settings: one schema gives flags, environment variables, checks and types. */
import { z } from 'zod'

/** Prefix of all environment variables. */
export const ENVIRONMENT_PREFIX = 'EELGRASSMUX_'

const address = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/

/** An IP number and a port. */
export const addressSetting = z.string().regex(address, 'write an IP number and a port, such as 10.0.0.5:8000')

/** Addresses separated by commas. */
export const addressListSetting = z.string().transform((text, context) => {
  const addresses = text.split(',').map(part => part.trim()).filter(part => part !== '')
  for (const part of addresses) {
    if (!address.test(part)) context.addIssue({ code: 'custom', message: `${part} is not an IP number and a port` })
  }
  return addresses
})

/**
 * Names separated by commas; none if nothing is given.
 *
 * @param nameSchema - one name
 */
export function listSetting<Name> (nameSchema: z.ZodType<Name, string>): z.ZodType<Name[], unknown> {
  const split = z.string().transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))
  return split.pipe(z.array(nameSchema)).default([])
}

/** A whole number within bounds. */
export function integerSetting (least: number, most: number): z.ZodType<number, unknown> {
  return z.coerce.number().int().min(least).max(most)
}

/**
 * A duration in seconds, fractions allowed.
 *
 * @param fallback - value where none is given; a platform that knows none may give an empty text
 */
function secondsSetting (fallback: number): z.ZodType<number, unknown> {
  const seconds = z.coerce.number().min(0.1).max(86_400).default(fallback)
  return z.preprocess(given => given === '' ? undefined : given, seconds)
}

/** A duration in milliseconds that may be left empty for "without bound". */
export const durationLimitSetting: z.ZodType<number, unknown> = z.preprocess(
  given => given === '' ? undefined : given,
  z.coerce.number().min(1).default(Number.POSITIVE_INFINITY)
)

/** Time from SIGTERM to SIGKILL where nobody says otherwise, in seconds: what orchestrators commonly give. */
const DEFAULT_STOP_GRACE_SECONDS = 30

/** How long a process may live after SIGTERM. */
export const stopGraceSetting = secondsSetting(DEFAULT_STOP_GRACE_SECONDS)
  .describe('how long the process may live after SIGTERM until it is killed, in seconds')

/** `true` or `false`. */
export const booleanSetting = z.enum(['true', 'false']).transform(text => text === 'true')

/** Settings that every daemon has. */
export const commonSettingsShape = {
  host: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}$/, 'write an IP number').default('127.0.0.1').describe('IP number to listen on'),
  adminPort: integerSetting(0, 65535).default(0).describe('port of /healthz, /readyz and /metrics; 0 takes a free one'),
  keptStories: integerSetting(1, 1_000_000).default(64).describe('of requests that go well, the log keeps the story of one in so many; failures are always kept'),
  logLinesPerSecond: integerSetting(1, 100_000).default(200).describe('most lines about requests that the log takes a second'),
  dataCentre: z.string().regex(/^[a-z0-9-]+$/, 'use lower-case letters, digits and dashes').describe('data centre this host stands in')
}

/** A setting that is missing or wrong. */
export interface SettingMistake {
  readonly flag: string
  readonly variable: string
  readonly message: string
}

/**
 * @param name - setting name in camel case
 * @returns its flag
 */
export function flagOf (name: string): string {
  return `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`
}

/**
 * @param name - setting name in camel case
 * @returns its environment variable
 */
export function variableOf (name: string): string {
  return ENVIRONMENT_PREFIX + name.replaceAll(/[A-Z]/g, letter => `_${letter}`).toUpperCase()
}

/**
 * @param issues - what a schema found wrong
 * @returns the mistakes, each with the names that an operator knows
 */
export function describeMistakes (issues: readonly z.core.$ZodIssue[]): SettingMistake[] {
  return issues.map(issue => {
    const name = String(issue.path[0] ?? '')
    const isMissing = issue.code === 'invalid_type' && issue.input === undefined
    return { flag: flagOf(name), variable: variableOf(name), message: isMissing ? 'is required' : issue.message }
  })
}
