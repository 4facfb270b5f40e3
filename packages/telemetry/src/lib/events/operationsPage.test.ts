import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import type { z } from 'zod'
import { changeEvents } from './changeEvents.js'
import { decisionEvents } from './decisionEvents.js'
import { faultEvents } from './faultEvents.js'
import { requestFields } from './requestFields.js'

const PAGE = new URL('../../../../../docs/OPERATIONS.md', import.meta.url)

/** Row of the table with the fields that every line about a request may have. */
const EVERY_DECISION = 'every line about a request'

interface Row {
  readonly event: string
  readonly fields: readonly string[]
}

/** Returns the rows of the table in the section "Lines". */
function readRows (page: string): Row[] {
  const section = /^## Lines$([^]*?)^## /m.exec(page)?.[1] ?? ''
  const rows = section.split('\n').filter(line => line.startsWith('|')).slice(2)
  return rows.map(row => {
    const [, event = '', , fields = ''] = row.split('|').map(cell => cell.trim())
    return { event: event.replaceAll('`', ''), fields: namesIn(fields) }
  })
}

/** Returns the names in backticks; text in parentheses is an explanation and is ignored. */
function namesIn (cell: string): string[] {
  return [...cell.replaceAll(/\([^)]*\)/g, '').matchAll(/`([^`]+)`/g)].map(([, name = '']) => name)
}

/** Returns the field names as the page writes them, with a question mark after optional fields. */
function fieldsOf (schema: z.ZodObject): string[] {
  return Object.entries(schema.shape).map(([name, field]) => field.safeParse(undefined).success ? `${name}?` : name)
}

describe('the table of log lines on the operations page', () => {
  const rows = readRows(readFileSync(PAGE, 'utf8'))
  const catalogue: ReadonlyArray<[string, z.ZodObject]> = Object.entries({ ...decisionEvents, ...changeEvents, ...faultEvents })

  it('lists each event of the catalogue once', () => {
    const expected = [EVERY_DECISION, ...catalogue.map(([event]) => event)]
    expect(rows.map(({ event }) => event).sort()).toEqual(expected.sort())
  })

  it.each([...catalogue, [EVERY_DECISION, requestFields] as const])('lists the fields of %s', (event, schema) => {
    const expected = fieldsOf(schema)
    if (event === EVERY_DECISION) expected.unshift('request')
    expect(rows.find(row => row.event === event)?.fields.toSorted()).toEqual(expected.sort())
  })
})
