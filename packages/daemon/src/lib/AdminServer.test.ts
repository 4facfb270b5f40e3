import { once } from 'node:events'
import { createServer } from 'node:net'
import { describe, expect, it } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { startAdminServer } from './AdminServer.js'
import { freePort } from './testing/freePort.js'

const HOST = '127.0.0.1'

describe('startAdminServer', () => {
  // Guards against programs that ended again and again, or never served, because a port was taken that no caller needs.
  it('starts without its port while it is taken, and opens it later', async () => {
    const port = await freePort()
    const holder = createServer()
    holder.listen(port, HOST)
    await once(holder, 'listening')
    const events: string[] = []
    const telemetry = new Telemetry('test')
    const isOpen = new Promise<void>(resolve => {
      telemetry.logStateChange = (...[event]) => {
        events.push(event)
        if (event === 'dependency-found') resolve()
      }
    })
    const admin = await startAdminServer(HOST, port, telemetry, () => true)
    expect(admin.port).toBe(port)
    expect(events).toEqual(['dependency-missing'])
    holder.close()
    await isOpen
    expect(await (await fetch(`http://${HOST}:${port}/readyz`)).text()).toBe('ready\n')
    await admin.close()
  })
})
