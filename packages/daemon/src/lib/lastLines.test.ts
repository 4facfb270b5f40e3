/** What a process still writes to its log when it ends. */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { afterEach, describe, expect, it } from 'vitest'

/** A daemon in whose place `start` is put. */
const script = (start: string): string => `
import { z } from 'zod'
import { runDaemon } from '${new URL('../../dist/lib/runDaemon.js', import.meta.url).href}'
import { commonSettingsShape } from '${new URL('../../dist/lib/settings.js', import.meta.url).href}'
const running = { addresses: {}, isReady: () => true, drain: async () => {}, close: async () => {} }
await runDaemon({ name: 'small', description: '', settings: z.object(commonSettingsShape), start: async (settings, telemetry) => { ${start} } }, ['--data-centre', 'n'])
`

/** Breaks once the daemon listens. */
const BREAK = 'setTimeout(() => { throw new Error(\'broken\') }, 300); return running'

describe('the last lines of a process', () => {
  let child: ChildProcess | undefined
  afterEach(() => { child?.kill('SIGKILL') })

  function start (body: string): ChildProcess {
    child = spawn(process.execPath, ['--input-type=module', '--eval', script(body)], {
      cwd: new URL('../../', import.meta.url), env: { ...process.env, ROARR_LOG: 'true' }, stdio: ['ignore', 'pipe', 'ignore']
    })
    return child
  }

  /** Reads the output to its end, and sends signals when given texts come. */
  async function read (running: ChildProcess, signalAfter: ReadonlyMap<string, NodeJS.Signals> = new Map()): Promise<{ readonly code: unknown, readonly events: string[] }> {
    let text = ''
    const waiting = new Map(signalAfter)
    running.stdout?.on('data', chunk => {
      text += String(chunk)
      for (const [wanted, signal] of waiting) {
        if (!text.includes(wanted)) continue
        waiting.delete(wanted)
        running.kill(signal)
      }
    })
    const [code] = await once(running, 'close')
    const events = text.trimEnd().split('\n').map(line => JSON.parse(line) as { context?: { event: string } }).flatMap(({ context }) => context?.event ?? [])
    return { code, events }
  }

  it('say why it broke', async () => {
    expect(await read(start(BREAK))).toEqual({ code: 3, events: ['started', 'fatal'] })
  })

  it('say that it was stopped', async () => {
    const signals = new Map<string, NodeJS.Signals>([['"started"', 'SIGTERM']])
    expect(await read(start('return running'), signals)).toEqual({ code: 0, events: ['started', 'draining', 'stopped'] })
  })

  it('are there also when an interrupt of the stop ends it at once', async () => {
    const body = 'return { ...running, stopping: () => { setTimeout(() => { telemetry.logStateChange(\'reloading\'); process.kill(process.pid, \'SIGINT\') }, 100) }, drain: async () => { await new Promise(resolve => setTimeout(resolve, 600_000)) } }'
    const signals = new Map<string, NodeJS.Signals>([['"started"', 'SIGTERM']])
    expect(await read(start(body), signals)).toEqual({ code: 1, events: ['started', 'draining', 'reloading'] })
  })

  it('do not keep it alive if nobody reads', async () => {
    const fill = 'for (let line = 0; line < 20_000; line += 1) telemetry.logStateChange(\'reloaded\', { error: \'x\'.repeat(100), contacts: \'\' });'
    const [code] = await once(start(fill + BREAK), 'exit')
    expect(code).toBe(3)
  })
})
