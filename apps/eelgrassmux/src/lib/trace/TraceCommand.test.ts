import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

const PROGRAM = fileURLToPath(new URL('../../../dist/main.js', import.meta.url))

const START = Date.UTC(2026, 4, 4, 3, 2, 1)

interface CommandResult {
  readonly code: number
  readonly output: string
  readonly errors: string
}

/** Returns a log line in the format of the programs. */
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

  async function trace (...args: string[]): Promise<CommandResult> {
    return await new Promise(resolve => {
      execFile(process.execPath, [PROGRAM, 'trace', ...args], (error, output, errors) => {
        resolve({ code: error === null ? 0 : Number(error.code), output, errors })
      })
    })
  }

  function objects ({ output }: CommandResult): Array<Record<string, unknown>> {
    return output.trimEnd().split('\n').map(text => JSON.parse(text) as Record<string, unknown>)
  }

  function events (result: CommandResult): unknown[] {
    return objects(result).map(({ event }) => event)
  }

  describe('--ends', () => {
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

    it('shows the request that crashed the endpoint of a lost request', async () => {
      const result = await trace('--ends', '--json', 'r1', ...await logs())
      expect(objects(result).map(({ event, request }) => [event, request])).toEqual([
        ['attempt-failed', 'r1'], ['attempt-failed', 'd2'], ['refused', 'r1'], ['quarantine-decided', undefined]
      ])
    })

    it('marks lines of other requests and shows their request ids', async () => {
      const { output } = await trace('--ends', 'r1', ...await logs())
      const lines = output.trimEnd().split('\n')
      expect(lines.filter(text => text.includes('~attempt-failed') && text.includes('request=d2'))).toHaveLength(1)
      expect(lines.filter(text => text.includes('request=r1'))).toEqual([])
    })

    it('shows all attempts of a quarantined request under other ids', async () => {
      const result = await trace('--ends', '--json', 'd4', ...await logs())
      expect(events(result)).toEqual(['attempt-failed', 'attempt-failed', 'quarantine-decided', 'quarantine-in-force', 'refused'])
    })

    it('shows no other lines for a request that no endpoint lost', async () => {
      const path = await file('c.log', [line(0, 'refused', { request: 'r9', detail: 'full' }), line(1, 'endpoint-crash-checked', { endpoint: 'e1' })])
      expect(events(await trace('--ends', '--json', 'r9', path))).toEqual(['refused'])
    })
  })

  describe('lines of a request', () => {
    it('are collected from all files in order of time, without lines of other requests', async () => {
      const first = await file('a.log', [line(40, 'attempt-failed', { request: 'r1' }), line(90, 'refused', { request: 'r1' }), line(91, 'refused', { request: 'r11' })])
      const second = await file('b.log', [line(10, 'waits-for-site', { request: 'r1' }), line(60, 'waits-for-room', { request: 'r1' }), line(61, 'refused', { request: 'r2', detail: 'not "request":"r1"' })])
      expect(events(await trace('--json', 'r1', first, second))).toEqual(['waits-for-site', 'attempt-failed', 'waits-for-room', 'refused'])
    })

    it('keep their order in the file if their times are equal', async () => {
      const path = await file('a.log', ['c', 'a', 'b'].map(event => line(5, event, { request: 'r1' })))
      expect(events(await trace('--json', 'r1', path))).toEqual(['c', 'a', 'b'])
    })

    it('are printed with position, program and fields', async () => {
      const path = await file('a.log', ['{"event":"listening"}', line(10, 'refused', { request: 'r1', reason: 'no-endpoint', status: 503, detail: 'all away' })])
      const expected = { time: '2026-05-04T03:02:01.010Z', file: path, lineNumber: 2, program: 'eelgrassmux-entry', event: 'refused', request: 'r1', isFault: false, fields: { reason: 'no-endpoint', status: 503, detail: 'all away' } }
      expect(objects(await trace('--json', 'r1', path))).toEqual([expected])
      const result = await trace('r1', path)
      expect(result).toEqual({ code: 0, errors: '', output: `2026-05-04T03:02:01.010Z  +0  ${path}:2  eelgrassmux-entry   refused  reason=no-endpoint status=503 detail="all away"\n` })
    })

    it('are found after a prefix, between other text, and in truncated and joined lines', async () => {
      const path = await file('all.log', [
        'Warning: something else about r1',
        `May  4 03:02:01 front-1 entry[7]: ${line(30, 'refused', { request: 'r1' })}`,
        `May  4 03:02:01 front-2 entry[9]: ${line(10, 'waits-for-site', { request: 'r1' })}\r`,
        `front-3 | ${line(15, 'answered', { request: 'r9' }).slice(0, 40)}${line(20, 'attempt-failed', { request: 'r1' })}`,
        '\u0000\u0001 not text {"context":'
      ])
      const result = await trace('--json', 'r1', path)
      expect(objects(result).map(({ event, host, lineNumber }) => [event, host, lineNumber])).toEqual([['waits-for-site', 'front-2', 3], ['attempt-failed', 'front-3', 4], ['refused', 'front-1', 2]])
      expect(result).toMatchObject({ code: 0, errors: '' })
    })

    it('are matched exactly if the request id needs escaping in JSON', async () => {
      const id = 'a"b\\c'
      const path = await file('a.log', [line(1, 'refused', { request: id }), line(2, 'refused', { request: 'a' })])
      expect(events(await trace('--json', id, path))).toEqual(['refused'])
    })
  })

  describe('a warning about missing lines', () => {
    it('is printed for truncated lines that name the request', async () => {
      const path = await file('a.log', [line(1, 'waits-for-site', { request: 'r1' }), line(2, 'refused', { request: 'r1', detail: 'x'.repeat(50) }).slice(0, 120)])
      expect(await trace('r1', path)).toMatchObject({ code: 0, errors: 'eelgrassmux: 1 lines name the request but are cut\n' })
    })

    it('is printed for lines dropped by processes that handled the request, but not by other processes', async () => {
      const dropped = line(9, 'log-lines-dropped', { count: 12 })
      const ownFile = await file('a.log', [line(1, 'refused', { request: 'r1' }), dropped])
      const otherFile = await file('b.log', [dropped])
      expect((await trace('r1', ownFile, otherFile)).errors).toBe(`eelgrassmux: ${ownFile}: 12 lines were not written (log-lines-dropped), perhaps of this request\n`)
      const missing = await trace('r2', ownFile, otherFile)
      for (const path of [ownFile, otherFile]) expect(missing.errors).toContain(`${path}: 12 lines were not written`)
    })

    it('counts dropped lines from the start of the request to the first report after it', async () => {
      const left = (atMs: number, count: number): string => line(atMs, 'request-lines-left-out', { count })
      const path = await file('a.log', [left(-500, 1), left(-100, 20), line(50, 'attempt-failed', { request: 'r1' }), left(60, 300), line(100, 'refused', { request: 'r1', elapsedMs: 250 }), left(700, 4000), left(1700, 50_000)])
      expect((await trace('r1', path)).errors).toBe(`eelgrassmux: ${path}: 4320 lines were not written (request-lines-left-out), perhaps of this request\n`)
    })

    it('is printed for a file that cannot be read, after the lines of the other files', async () => {
      const path = await file('a.log', [line(1, 'refused', { request: 'r1' })])
      const result = await trace('--json', 'r1', `${folder}/none.log`, path, folder)
      expect(events(result)).toEqual(['refused'])
      expect(result.code).toBe(1)
      expect(result.errors).toContain(`${folder}/none.log can't be read: ENOENT`)
      expect(result.errors).toContain(`${folder} can't be read: EISDIR`)
    })

    it('comes with exit code 1 if no line of the request is found', async () => {
      const path = await file('a.log', [line(1, 'refused', { request: 'r1' })])
      expect(await trace('r2', path)).toEqual({ code: 1, output: '', errors: 'eelgrassmux: no line of request r2 in 1 files\n' })
    })
  })

  describe('--around', () => {
    async function writeLogs (): Promise<string[]> {
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

    it('shows lines about the state of the same processes, from one second before the request to one second after it', async () => {
      const result = await trace('--json', '--around', 'r1', ...await writeLogs())
      expect(events(result)).toEqual(['site-in-force', 'endpoint-paused', 'refused', 'draining'])
      expect(objects(result)[0]).toMatchObject({ fields: { version: 2 } })
    })

    it('uses the time range of --margin-ms', async () => {
      const files = await writeLogs()
      expect(events(await trace('--json', '--around', '--margin-ms', '0', 'r1', ...files))).toEqual(['endpoint-paused', 'refused'])
      expect(events(await trace('--json', '--around', '--margin-ms', '5000', 'r1', ...files))).toHaveLength(6)
    })

    it('marks lines without a request id with ~', async () => {
      const result = await trace('--around', 'r1', ...await writeLogs())
      expect(result.output.split('\n').map(text => / (~?)[a-z-]+-(?:force|paused)| {2}(refused|draining)/.exec(text)?.[0].trim())).toEqual(['~site-in-force', '~endpoint-paused', 'refused', undefined, undefined])
      expect(result.output).toContain('~draining')
      expect(result.output.split('\n').map(text => text.split(/ +/)[1])).toEqual(['-800', '-60', '+0', '+800', undefined])
    })

    it('distinguishes processes in one file by host and program', async () => {
      const path = await file('all.log', [
        `front-1 ${line(40, 'endpoint-paused', { endpoint: 'e1' })}`,
        `front-2 ${line(40, 'endpoint-paused', { endpoint: 'e2' })}`,
        `front-1 ${line(41, 'role-changed', {}, 'eelgrassmux-control')}`,
        `front-1 ${line(50, 'refused', { request: 'r1' })}`
      ])
      expect(events(await trace('--json', '--around', 'r1', path))).toEqual(['endpoint-paused', 'refused'])
    })

    it('shows lines of level error', async () => {
      const path = await file('a.log', [line(1, 'attempt-failed', { request: 'r1' }), line(2, 'fatal', { invariant: 'x' }, 'eelgrassmux-entry', 50)])
      expect(objects(await trace('--json', '--around', 'r1', path))[1]).toMatchObject({ event: 'fatal', isFault: true })
    })

    it('rejects a file that can be read only once', async () => {
      expect(await trace('--around', 'r1', '/dev/null')).toMatchObject({ code: 2, errors: 'eelgrassmux: --around reads files twice, and /dev/null is no regular file\n' })
    })
  })

  describe('invalid arguments', () => {
    it.each([
      [['', 'a.log'], 'ID must not be empty'],
      [['--margin-ms=-1', 'r1', 'a.log'], '--margin-ms must be'],
      [['--margin-ms', 'x', 'r1', 'a.log'], '--margin-ms must be']
    ])('%j have exit code 2', async (args, message) => {
      const result = await trace(...args)
      expect(result.code).toBe(2)
      expect(result.errors).toContain(message)
    })

    it('print the usage if no file is given', async () => {
      const result = await trace('r1')
      expect(result.code).toBe(1)
      expect(result.output).toContain('FILE')
    })
  })
})
