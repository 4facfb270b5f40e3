import { describe, expect, expectTypeOf, it } from 'vitest'
import { Telemetry } from '../Telemetry.js'
import { changeEvents } from './changeEvents.js'
import { decisionEvents } from './decisionEvents.js'
import type { DecisionFields } from './eventFields.js'
import { faultEvents } from './faultEvents.js'

/** Each wrong call bears a mark that is itself a compiler error where the call is accepted. */
describe('the compiler', () => {
  const telemetry = new Telemetry('test')

  it('refuses names that are not in the catalogue, or of another kind of line', () => {
    // @ts-expect-error misspelt
    telemetry.logDecision('refuse', 'r1', { reason: 'draining', status: 503, run: 'not-run', detail: '' })
    // @ts-expect-error a change, not a decision
    telemetry.logDecision('site-in-force', 'r1', { version: 1, routes: 1, view: 1 })
    // @ts-expect-error a decision, not a change
    telemetry.logStateChange('retry-budget-used-up', { failure: 'lost' })
    // @ts-expect-error a change, not a fault
    telemetry.logFault('stopped')
  })

  it('refuses fields that are missing, misspelt, of another type or of another event', () => {
    // @ts-expect-error no detail
    telemetry.logDecision('refused', 'r1', { reason: 'draining', status: 503, run: 'not-run' })
    // @ts-expect-error text for a number
    telemetry.logDecision('refused', 'r1', { reason: 'draining', status: '503', run: 'not-run', detail: '' })
    // @ts-expect-error no such run state
    telemetry.logDecision('refused', 'r1', { reason: 'draining', status: 503, run: 'perhaps', detail: '' })
    // @ts-expect-error a field of another event
    telemetry.logDecision('retry-budget-used-up', 'r1', { failure: 'lost', open: 1 })
    // @ts-expect-error misspelt field of all decisions
    telemetry.logDecision('retry-budget-used-up', 'r1', { failure: 'lost', siteversion: 1 })
    // @ts-expect-error no fields at all
    telemetry.logStateChange('site-in-force')
    // @ts-expect-error one field too many
    telemetry.logStateChange('site-in-force', { version: 1, routes: 1, view: 1, more: 1 })
    // @ts-expect-error no field belongs here
    telemetry.logStateChange('stopped', { version: 1 })
    // @ts-expect-error no message
    telemetry.logFault('fatal', { invariant: 'x' })
  })

  it('takes what is right', () => {
    telemetry.logDecision('retry-budget-used-up', 'r1', { failure: 'lost', route: 'a', service: 'b', siteVersion: 1, sends: 1, runs: 1, elapsedMs: 1 })
    telemetry.logStateChange('stopped')
    telemetry.logStateChange('endpoint-list-lost', { reason: 'timeout' })
    telemetry.logFault('fatal', { invariant: 'x', message: 'y' })
    expectTypeOf<DecisionFields<'retry-budget-used-up'>>().toEqualTypeOf<{ failure: string }>()
  })
})

describe('the catalogue', () => {
  const kinds = [decisionEvents, changeEvents, faultEvents]
  const names = kinds.flatMap(kind => Object.keys(kind))

  it('has each name once, in the same spelling', () => {
    expect(new Set(names).size).toBe(names.length)
    for (const name of names) expect(name).toMatch(/^[a-z]+(-[a-z]+)*$/)
  })

  it('keeps names that every line has to themselves', () => {
    const fields = kinds.flatMap(kind => Object.values(kind).flatMap(schema => Object.keys(schema.shape)))
    expect(fields.filter(field => ['event', 'program', 'request', 'logLevel'].includes(field))).toEqual([])
  })
})
