import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

const PROGRAM = fileURLToPath(new URL('../../../dist/main.js', import.meta.url))

const START = Date.UTC(2026, 4, 4, 3, 2, 1)

interface Written {
  readonly code: number
  readonly output: string
  readonly errors: string
}

/** A line as the programs write it. */
function line (atMs: number, event: string, fields: Record<string, unknown> = {}, program = 'eelgrassmux-entry', logLevel = 30): string {
  return JSON.stringify({ context: { program, event, ...fields, logLevel }, message: event, sequence: '1', time: START + atMs, version: '2.0.0' })
}

describe('trace', () => {
  let folder = ''
  beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'trace-')) })
  afterEach(async () => { await rm(folder, { recursive: true }) })

  const path = (name: string): string => join(folder, name)

  async function file (name: string, lines: readonly string[]): Promise<string> {
    await writeFile(path(name), lines.map(text => `${text}\n`).join(''))
    return path(name)
  }

  async function trace (...args: string[]): Promise<Written> {
    return await new Promise(resolve => {
      execFile(process.execPath, [PROGRAM, 'trace', ...args], (error, output, errors) => {
        resolve({ code: error === null ? 0 : Number(error.code), output, errors })
      })
    })
  }

  function objects ({ output }: Written): Array<Record<string, unknown>> {
    return output.trimEnd().split('\n').map(text => JSON.parse(text) as Record<string, unknown>)
  }

  function events (written: Written): unknown[] {
    return objects(written).map(({ event }) => event)
  }

  describe('the ends of endpoints', () => {
    const poison = 'd'.repeat(32)
    const bystander = 'b'.repeat(32)

    async function logs (): Promise<string[]> {
      const lost = (request: string, endpoint: string, fingerprint: string): Record<string, unknown> => ({ request, endpoint, fingerprint, failure: 'lost' })
      return [
        await file('a.log', [
          line(-5000, 'attempt-failed', lost('d1', 'e1', poison)), line(0, 'attempt-failed', lost('r1', 'e2', bystander)), line(1, 'refused', { request: 'r1' }),
          line(900, 'quarantine-in-force', { fingerprint: poison, state: 'quarantined' }), line(901, 'endpoint-paused', { endpoint: 'e2' })
        ]),
        await file('b.log', [
          line(0, 'attempt-failed', lost('d2', 'e2', poison)), line(1, 'attempt-failed', { request: 'd3', endpoint: 'e2', failure: 'not-connected' }),
          line(800, 'quarantine-decided', { fingerprint: poison, decision: 'quarantine', endpoints: 'e1 e2 e3' }, 'eelgrassmux-control'),
          line(2000, 'refused', { request: 'd4', detail: `quarantined (fingerprint ${poison})` })
        ])
      ]
    }

    it('lead from a request that was lost to the one that ended its endpoint', async () => {
      const written = await trace('--ends', '--json', 'r1', ...await logs())
      expect(objects(written).map(({ event, request }) => [event, request])).toEqual([
        ['attempt-failed', 'r1'], ['attempt-failed', 'd2'], ['refused', 'r1'], ['quarantine-decided', undefined]
      ])
    })

    it('show whose line is whose', async () => {
      const { output } = await trace('--ends', 'r1', ...await logs())
      const lines = output.trimEnd().split('\n')
      expect(lines.filter(text => text.includes('~attempt-failed') && text.includes('request=d2'))).toHaveLength(1)
      expect(lines.filter(text => text.includes('request=r1'))).toEqual([])
    })

    it('lead from a request that is quarantined to all that it did', async () => {
      const written = await trace('--ends', '--json', 'd4', ...await logs())
      expect(events(written)).toEqual(['attempt-failed', 'attempt-failed', 'quarantine-decided', 'quarantine-in-force', 'refused'])
    })

    it('show nothing more of a request that was lost with none', async () => {
      const path = await file('c.log', [line(0, 'refused', { request: 'r9', detail: 'full' }), line(1, 'endpoint-crash-checked', { endpoint: 'e1' })])
      expect(events(await trace('--ends', '--json', 'r9', path))).toEqual(['refused'])
    })
  })

  describe('the lines of a request', () => {
    it('come from all files in order of time, and no others', async () => {
      const first = await file('a.log', [line(40, 'attempt-failed', { request: 'r1' }), line(90, 'refused', { request: 'r1' }), line(91, 'refused', { request: 'r11' })])
      const second = await file('b.log', [line(10, 'waits-for-site', { request: 'r1' }), line(60, 'waits-for-room', { request: 'r1' }), line(61, 'refused', { request: 'r2', detail: 'not "request":"r1"' })])
      expect(events(await trace('--json', 'r1', first, second))).toEqual(['waits-for-site', 'attempt-failed', 'waits-for-room', 'refused'])
    })

    it('of one moment stay as they were written', async () => {
      const path = await file('a.log', ['c', 'a', 'b'].map(event => line(5, event, { request: 'r1' })))
      expect(events(await trace('--json', 'r1', path))).toEqual(['c', 'a', 'b'])
    })

    it('say where they stand, who wrote them and what they state', async () => {
      const path = await file('a.log', ['{"event":"listening"}', line(10, 'refused', { request: 'r1', reason: 'no-endpoint', status: 503, detail: 'all away' })])
      const expected = { time: '2026-05-04T03:02:01.010Z', file: path, lineNumber: 2, program: 'eelgrassmux-entry', event: 'refused', request: 'r1', isFault: false, fields: { reason: 'no-endpoint', status: 503, detail: 'all away' } }
      expect(objects(await trace('--json', 'r1', path))).toEqual([expected])
      const written = await trace('r1', path)
      expect(written).toEqual({ code: 0, errors: '', output: `2026-05-04T03:02:01.010Z  +0  ${path}:2  eelgrassmux-entry   refused  reason=no-endpoint status=503 detail="all away"\n` })
    })

    it('are found behind a prefix, between other text, in cut and joined lines', async () => {
      const path = await file('all.log', [
        'Warning: something else about r1',
        `May  4 03:02:01 front-1 entry[7]: ${line(30, 'refused', { request: 'r1' })}`,
        `May  4 03:02:01 front-2 entry[9]: ${line(10, 'waits-for-site', { request: 'r1' })}\r`,
        `front-3 | ${line(15, 'answered', { request: 'r9' }).slice(0, 40)}${line(20, 'attempt-failed', { request: 'r1' })}`,
        '\u0000\u0001 not text {"context":'
      ])
      const written = await trace('--json', 'r1', path)
      expect(objects(written).map(({ event, host, lineNumber }) => [event, host, lineNumber])).toEqual([['waits-for-site', 'front-2', 3], ['attempt-failed', 'front-3', 4], ['refused', 'front-1', 2]])
      expect(written).toMatchObject({ code: 0, errors: '' })
    })

    it('keep an id that must be escaped apart from text that looks like it', async () => {
      const id = 'a"b\\c'
      const path = await file('a.log', [line(1, 'refused', { request: id }), line(2, 'refused', { request: 'a' })])
      expect(events(await trace('--json', id, path))).toEqual(['refused'])
    })
  })

  describe('what may be missing', () => {
    it('is said of cut lines that name the request', async () => {
      const path = await file('a.log', [line(1, 'waits-for-site', { request: 'r1' }), line(2, 'refused', { request: 'r1', detail: 'x'.repeat(50) }).slice(0, 120)])
      expect(await trace('r1', path)).toMatchObject({ code: 0, errors: 'eelgrassmux: 1 lines name the request but are cut\n' })
    })

    it('is said of lines that a process of the request did not write, and not of other processes\'', async () => {
      const dropped = line(9, 'log-lines-dropped', { count: 12 })
      const met = await file('a.log', [line(1, 'refused', { request: 'r1' }), dropped])
      const other = await file('b.log', [dropped])
      expect((await trace('r1', met, other)).errors).toBe(`eelgrassmux: ${met}: 12 lines were not written (log-lines-dropped), perhaps of this request\n`)
      const missing = await trace('r2', met, other)
      for (const path of [met, other]) expect(missing.errors).toContain(`${path}: 12 lines were not written`)
    })

    it('is said of losses from the beginning of the request to the first report after it', async () => {
      const left = (atMs: number, count: number): string => line(atMs, 'request-lines-left-out', { count })
      const path = await file('a.log', [left(-500, 1), left(-100, 20), line(50, 'attempt-failed', { request: 'r1' }), left(60, 300), line(100, 'refused', { request: 'r1', elapsedMs: 250 }), left(700, 4000), left(1700, 50_000)])
      expect((await trace('r1', path)).errors).toBe(`eelgrassmux: ${path}: 4320 lines were not written (request-lines-left-out), perhaps of this request\n`)
    })

    it('is said of a file that can not be read, after the lines of the others', async () => {
      const path = await file('a.log', [line(1, 'refused', { request: 'r1' })])
      const written = await trace('--json', 'r1', `${folder}/none.log`, path, folder)
      expect(events(written)).toEqual(['refused'])
      expect(written.code).toBe(1)
      expect(written.errors).toContain(`${folder}/none.log can't be read: ENOENT`)
      expect(written.errors).toContain(`${folder} can't be read: EISDIR`)
    })

    it('ends with 1 if there is no line', async () => {
      const path = await file('a.log', [line(1, 'refused', { request: 'r1' })])
      expect(await trace('r2', path)).toEqual({ code: 1, output: '', errors: 'eelgrassmux: no line of request r2 in 1 files\n' })
    })
  })

  describe('--around', () => {
    async function story (): Promise<string[]> {
      return [
        await file('a.log', [
          line(-5000, 'site-in-force', { version: 1 }),
          line(-700, 'site-in-force', { version: 2 }),
          line(40, 'endpoint-paused', { endpoint: 'e1' }),
          line(50, 'refused', { request: 'other' }),
          line(100, 'refused', { request: 'r1', elapsedMs: 300 }),
          line(900, 'draining'),
          line(5000, 'stopped')
        ]),
        await file('b.log', [line(40, 'endpoint-paused', { endpoint: 'e2' })])
      ]
    }

    it('shows what the same processes came to believe from a second before the request came to a second after it', async () => {
      const written = await trace('--json', '--around', 'r1', ...await story())
      expect(events(written)).toEqual(['site-in-force', 'endpoint-paused', 'refused', 'draining'])
      expect(objects(written)[0]).toMatchObject({ fields: { version: 2 } })
    })

    it('looks as far as --margin-ms says', async () => {
      const files = await story()
      expect(events(await trace('--json', '--around', '--margin-ms', '0', 'r1', ...files))).toEqual(['endpoint-paused', 'refused'])
      expect(events(await trace('--json', '--around', '--margin-ms', '5000', 'r1', ...files))).toHaveLength(6)
    })

    it('marks them', async () => {
      const written = await trace('--around', 'r1', ...await story())
      expect(written.output.split('\n').map(text => / (~?)[a-z-]+-(?:force|paused)| {2}(refused|draining)/.exec(text)?.[0].trim())).toEqual(['~site-in-force', '~endpoint-paused', 'refused', undefined, undefined])
      expect(written.output).toContain('~draining')
      expect(written.output.split('\n').map(text => text.split(/ +/)[1])).toEqual(['-800', '-60', '+0', '+800', undefined])
    })

    it('tells processes in one file apart by host and program', async () => {
      const path = await file('all.log', [
        `front-1 ${line(40, 'endpoint-paused', { endpoint: 'e1' })}`,
        `front-2 ${line(40, 'endpoint-paused', { endpoint: 'e2' })}`,
        `front-1 ${line(41, 'role-changed', {}, 'eelgrassmux-control')}`,
        `front-1 ${line(50, 'refused', { request: 'r1' })}`
      ])
      expect(events(await trace('--json', '--around', 'r1', path))).toEqual(['endpoint-paused', 'refused'])
    })

    it('shows faults', async () => {
      const path = await file('a.log', [line(1, 'attempt-failed', { request: 'r1' }), line(2, 'fatal', { invariant: 'x' }, 'eelgrassmux-entry', 50)])
      expect(objects(await trace('--json', '--around', 'r1', path))[1]).toMatchObject({ event: 'fatal', isFault: true })
    })

    it('refuses what can be read only once', async () => {
      expect(await trace('--around', 'r1', '/dev/null')).toMatchObject({ code: 2, errors: 'eelgrassmux: --around reads files twice, and /dev/null is no regular file\n' })
    })
  })

  describe('wrong use', () => {
    it.each([
      [['', 'a.log'], 'ID must not be empty'],
      [['--margin-ms=-1', 'r1', 'a.log'], '--margin-ms must be'],
      [['--margin-ms', 'x', 'r1', 'a.log'], '--margin-ms must be']
    ])('%j ends with 2', async (args, message) => {
      const written = await trace(...args)
      expect(written.code).toBe(2)
      expect(written.errors).toContain(message)
    })

    it('without files says how it is used', async () => {
      const written = await trace('r1')
      expect(written.code).toBe(1)
      expect(written.output).toContain('FILE')
    })
  })
})
