/** Tests that a process writes its last log lines before it ends. */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { afterEach, describe, expect, it } from 'vitest'

/** Returns a program that runs a daemon with the given body of its `start` function. */
const script = (start: string): string => `
import { z } from 'zod'
import { runDaemon } from '${new URL('../../dist/lib/runDaemon.js', import.meta.url).href}'
import { commonSettingsShape } from '${new URL('../../dist/lib/settings.js', import.meta.url).href}'
const running = { addresses: {}, isReady: () => true, drain: async () => {}, close: async () => {} }
await runDaemon({ name: 'small', description: '', settings: z.object(commonSettingsShape), start: async (settings, telemetry) => { ${start} } }, ['--data-centre', 'n'])
`

/** Throws an uncaught error after the daemon has started. */
const BREAK = 'setTimeout(() => { throw new Error(\'broken\') }, 300); return running'

describe('the last log lines of a process', () => {
  let child: ChildProcess | undefined
  afterEach(() => { child?.kill('SIGKILL') })

  function start (body: string): ChildProcess {
    child = spawn(process.execPath, ['--input-type=module', '--eval', script(body)], {
      cwd: new URL('../../', import.meta.url), env: { ...process.env, ROARR_LOG: 'true' }, stdio: ['ignore', 'pipe', 'ignore']
    })
    return child
  }

  /** Reads the output until it ends, and sends each signal when its text appears in the output. */
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

  it('report a fatal error', async () => {
    expect(await read(start(BREAK))).toEqual({ code: 3, events: ['started', 'fatal'] })
  })

  it('report a graceful stop', async () => {
    const signals = new Map<string, NodeJS.Signals>([['"started"', 'SIGTERM']])
    expect(await read(start('return running'), signals)).toEqual({ code: 0, events: ['started', 'draining', 'stopped'] })
  })

  it('are written if an interrupt during a graceful stop forces the exit', async () => {
    const body = 'return { ...running, stopping: () => { setTimeout(() => { telemetry.logStateChange(\'reloading\'); process.kill(process.pid, \'SIGINT\') }, 100) }, drain: async () => { await new Promise(resolve => setTimeout(resolve, 600_000)) } }'
    const signals = new Map<string, NodeJS.Signals>([['"started"', 'SIGTERM']])
    expect(await read(start(body), signals)).toEqual({ code: 1, events: ['started', 'draining', 'reloading'] })
  })

  it('do not keep the process alive if nobody reads them', async () => {
    const fill = 'for (let line = 0; line < 20_000; line += 1) telemetry.logStateChange(\'reloaded\', { error: \'x\'.repeat(100), contacts: \'\' });'
    const [code] = await once(start(fill + BREAK), 'exit')
    expect(code).toBe(3)
  })
})
