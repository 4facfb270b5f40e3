import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { afterEach, describe, expect, it } from 'vitest'

const RUN_DAEMON = new URL('../../dist/lib/runDaemon.js', import.meta.url).href
const SETTINGS = new URL('../../dist/lib/settings.js', import.meta.url).href

/** A daemon that prints a line when it begins to start, and finishes its start when it receives a line on standard input. */
const SLOW_DAEMON = `
  import { once } from 'node:events'
  import { z } from 'zod'
  import { runDaemon } from ${JSON.stringify(RUN_DAEMON)}
  import { commonSettingsShape } from ${JSON.stringify(SETTINGS)}
  const start = async () => {
    process.stdout.write('starting\\n')
    await once(process.stdin, 'data')
    process.stdin.destroy()
    return { addresses: {}, isReady: () => true, reload: () => { process.stdout.write('reloaded\\n') }, drain: async () => {}, close: async () => {} }
  }
  await runDaemon({ name: 'slow', description: 'starts slowly', settings: z.object(commonSettingsShape), start }, ['--data-centre', 'north'])
`

/** A daemon whose start fails after it has opened a port. */
const FAILING_DAEMON = `
  import { createServer } from 'node:net'
  import { z } from 'zod'
  import { runDaemon } from ${JSON.stringify(RUN_DAEMON)}
  import { commonSettingsShape } from ${JSON.stringify(SETTINGS)}
  const start = async () => {
    await new Promise(resolve => { createServer().listen(0, '127.0.0.1', resolve) })
    throw new Error('the second port is taken')
  }
  await runDaemon({ name: 'failing', description: 'fails to start', settings: z.object(commonSettingsShape), start }, ['--data-centre', 'north'])
`

/** A program that has opened a port before its settings are read. */
const EARLY_PORT_DAEMON = `
  import { createServer } from 'node:net'
  import { z } from 'zod'
  import { runDaemon } from ${JSON.stringify(RUN_DAEMON)}
  import { commonSettingsShape } from ${JSON.stringify(SETTINGS)}
  await new Promise(resolve => { createServer().listen(0, '127.0.0.1', resolve) })
  await runDaemon({ name: 'early', description: 'opens a port early', settings: z.object(commonSettingsShape), start: async () => {} }, [])
`

describe('runDaemon', () => {
  let daemon: ChildProcess

  afterEach(() => { daemon.kill('SIGKILL') })

  /** Starts the daemon, sends signals while it is starting, and then lets it finish its start. */
  async function signalDuringStart (...signals: NodeJS.Signals[]): Promise<{ readonly exit: unknown, readonly output: string }> {
    daemon = spawn(process.execPath, ['--input-type=module', '-e', SLOW_DAEMON], { env: { ...process.env, ROARR_LOG: 'true' }, stdio: ['pipe', 'pipe', 'inherit'] })
    let output = ''
    const exit = once(daemon, 'close')
    await new Promise<void>(resolve => {
      daemon.stdout?.on('data', chunk => {
        output += String(chunk)
        if (output.includes('starting')) resolve()
      })
    })
    for (const signal of signals) daemon.kill(signal)
    daemon.stdin?.write('go on\n')
    return { exit: await exit, output }
  }

  describe('signals that arrive while the daemon is starting', () => {
    it('are held back until it can stop gracefully and write its last log line', async () => {
      const { exit, output } = await signalDuringStart('SIGTERM')
      expect(exit).toEqual([0, null])
      expect(output).toContain('"event":"stopped"')
    })

    it('are held back until it can reload its settings', async () => {
      const { exit, output } = await signalDuringStart('SIGHUP', 'SIGTERM')
      expect(exit).toEqual([0, null])
      expect(output).toContain('reloaded')
    })

    it('may repeat SIGTERM without forcing an exit', async () => {
      const { exit } = await signalDuringStart('SIGTERM', 'SIGTERM')
      expect(exit).toEqual([0, null])
    })
  })
  // Guards against daemons that neither serve nor end after their start has failed, so that no supervisor restarts them.
  describe('a start that fails after a port was opened', () => {
    it('ends the process with the error', async () => {
      daemon = spawn(process.execPath, ['--input-type=module', '-e', FAILING_DAEMON], { env: { ...process.env, ROARR_LOG: 'true' }, stdio: ['ignore', 'pipe', 'pipe'] })
      let output = ''
      let errors = ''
      daemon.stdout?.on('data', chunk => { output += String(chunk) })
      daemon.stderr?.on('data', chunk => { errors += String(chunk) })
      expect(await once(daemon, 'close')).toEqual([3, null])
      expect(errors).toContain('failing: Error: the second port is taken')
      expect(output).toContain('"event":"fatal"')
    })

    it('ends the process if its settings are invalid', async () => {
      daemon = spawn(process.execPath, ['--input-type=module', '-e', EARLY_PORT_DAEMON], { stdio: 'ignore' })
      expect(await once(daemon, 'exit')).toEqual([2, null])
    })
  })
})
