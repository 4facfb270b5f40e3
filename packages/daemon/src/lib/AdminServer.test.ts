import { once } from 'node:events'
import { connect, createServer, Server, type AddressInfo } from 'node:net'
import { describe, expect, it } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { startAdminServer } from './AdminServer.js'
import { MAX_SIDE_CONNECTIONS } from './sideConnections.js'
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

  // Guards against a process that ends because a connection of an operator's tool could not be accepted.
  it('goes on after errors of accepting', async () => {
    const telemetry = new Telemetry('test')
    const faults: string[] = []
    telemetry.logFault = (...[event]) => { faults.push(event) }
    const admin = await startAdminServer(HOST, 0, telemetry, () => true)
    const handles = (Reflect.get(process, '_getActiveHandles') as () => unknown[]).call(process)
    const server = handles.find((handle): handle is Server => handle instanceof Server && (handle.address() as AddressInfo | null)?.port === admin.port)
    server?.emit('error', new Error('accept'))
    server?.emit('error', new Error('accept'))
    expect(faults).toEqual(['accept-failed'])
    await admin.close()
  })

  // Guards against tools that take the descriptors and the memory of callers' connections.
  it('closes connections beyond its bound', async () => {
    const admin = await startAdminServer(HOST, 0, new Telemetry('test'), () => true)
    const sockets = Array.from({ length: MAX_SIDE_CONNECTIONS }, () => connect(admin.port, HOST).on('error', () => {}))
    await Promise.all(sockets.map(async socket => { await once(socket, 'connect') }))
    await expect(fetch(`http://${HOST}:${admin.port}/readyz`)).rejects.toThrow()
    for (const socket of sockets) socket.destroy()
    await admin.close()
  })
})
