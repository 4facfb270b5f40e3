import { createServer } from 'node:net'
import { describe, expect, it } from 'vitest'
import { listenWhenFree } from './listenWhenFree.js'
import { StartStopped, StartWaits } from './StartWaits.js'

const PASSING = (): boolean => true

/** Waits whose signals stop after some sleeps, and the events that they log. */
function openWaits (sleepsUntilStop = Number.POSITIVE_INFINITY): { readonly waits: StartWaits, readonly events: string[], sleeps (): number } {
  const events: string[] = []
  let sleeps = 0
  const waits = new StartWaits({ logStateChange: (...[event]) => { events.push(event) } }, {
    get isStopReceived () { return sleeps >= sleepsUntilStop },
    sleep: async () => { sleeps += 1 }
  })
  return { waits, events, sleeps: () => sleeps }
}

function failing (times: number, code: string): () => Promise<string> {
  let attempts = 0
  return async () => {
    attempts += 1
    if (attempts <= times) throw Object.assign(new Error(code), { code })
    return 'open'
  }
}

describe('StartWaits', () => {
  it('repeats an attempt, and logs the wait once within the interval of reports and once at its end', async () => {
    const { waits, events, sleeps } = openWaits()
    expect(await waits.until('a file', failing(3, 'ENOENT'), PASSING)).toBe('open')
    expect(sleeps()).toBe(3)
    expect(events).toEqual(['dependency-missing', 'dependency-found'])
  })

  it('logs nothing if the first attempt succeeds', async () => {
    const { waits, events } = openWaits()
    await waits.until('a file', failing(0, 'ENOENT'), PASSING)
    expect(events).toEqual([])
  })

  it('gives up when a signal to stop arrives', async () => {
    const { waits } = openWaits(2)
    await expect(waits.until('a file', failing(9, 'ENOENT'), PASSING)).rejects.toThrow(StartStopped)
  })
})

describe('listenWhenFree', () => {
  it('waits for a port that is taken and for an address that is not configured', async () => {
    for (const code of ['EADDRINUSE', 'EADDRNOTAVAIL']) expect(await listenWhenFree(openWaits().waits, 'port', failing(2, code))).toBe('open')
  })

  // Guards against waiting without end for a port that only other settings or permissions make available.
  it('rejects if the port needs other settings', async () => {
    await expect(listenWhenFree(openWaits().waits, 'port', failing(1, 'EACCES'))).rejects.toThrow('EACCES')
  })

  it('opens a real port once its holder is gone', async () => {
    const holder = createServer()
    await new Promise<void>(resolve => { holder.listen(0, '127.0.0.1', resolve) })
    const address = holder.address()
    const port = typeof address === 'object' && address !== null ? address.port : 0
    const server = createServer()
    let attempts = 0
    await listenWhenFree(openWaits().waits, 'port', async () => {
      attempts += 1
      if (attempts === 2) await new Promise<void>(resolve => { holder.close(() => { resolve() }) })
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject)
        server.listen(port, '127.0.0.1', resolve)
      })
    })
    expect(attempts).toBe(2)
    server.close()
  })
})
