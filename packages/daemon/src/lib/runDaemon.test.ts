import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { afterEach, describe, expect, it } from 'vitest'

const RUN_DAEMON = new URL('../../dist/lib/runDaemon.js', import.meta.url).href
const SETTINGS = new URL('../../dist/lib/settings.js', import.meta.url).href

/** A daemon that says when it begins to start, and has started once its standard input says so. */
const SLOW_DAEMON = `
  import { once } from 'node:events'
  import { z } from 'zod'
  import { runDaemon } from ${JSON.stringify(RUN_DAEMON)}
  import { commonSettingsShape } from ${JSON.stringify(SETTINGS)}
  const start = async () => {
    process.stdout.write('starting\\n')
    await once(process.stdin, 'data')
    process.stdin.destroy()
    return { addresses: {}, isReady: () => true, drain: async () => {}, close: async () => {} }
  }
  await runDaemon({ name: 'slow', description: 'starts slowly', settings: z.object(commonSettingsShape), start }, ['--data-centre', 'north'])
`

describe('runDaemon', () => {
  let daemon: ChildProcess

  afterEach(() => { daemon.kill('SIGKILL') })

  describe('a stop signal that comes while the daemon starts', () => {
    it('is kept until it can stop as planned, and the last line is written', async () => {
      daemon = spawn(process.execPath, ['--input-type=module', '-e', SLOW_DAEMON], { env: { ...process.env, ROARR_LOG: 'true' }, stdio: ['pipe', 'pipe', 'inherit'] })
      let output = ''
      const exit = once(daemon, 'close')
      await new Promise<void>(resolve => {
        daemon.stdout?.on('data', chunk => {
          output += String(chunk)
          if (output.includes('starting')) resolve()
        })
      })
      daemon.kill('SIGTERM')
      daemon.stdin?.write('go on\n')
      expect(await exit).toEqual([0, null])
      expect(output).toContain('"event":"stopped"')
    })
  })
})
