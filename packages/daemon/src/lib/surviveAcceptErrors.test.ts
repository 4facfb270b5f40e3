import { once } from 'node:events'
import { createServer, type Server } from 'node:net'
import { describe, expect, it } from 'vitest'
import { EarlyListener } from './EarlyListener.js'
import { surviveAcceptErrors } from './surviveAcceptErrors.js'

function failAccept (server: Server): void {
  server.emit('error', Object.assign(new Error('accept'), { code: 'ENOBUFS', syscall: 'accept' }))
}

describe('surviveAcceptErrors', () => {
  // Guards against a process that ends with code 3 because the machine briefly had no buffers for a connection.
  it('logs errors of a listening server once per interval, and goes on', async () => {
    const logged: unknown[] = []
    const server = createServer()
    surviveAcceptErrors(server, { logFault: (...entry) => { logged.push(entry) } }, 'callers')
    expect(() => { failAccept(server) }).toThrow('accept')
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    failAccept(server)
    failAccept(server)
    expect(logged).toEqual([['accept-failed', { port: 'callers', code: 'ENOBUFS', errors: 1 }]])
    server.close()
  })

  // Guards against the same end while the program still loads.
  it('is not needed by an early listener', async () => {
    const early = await EarlyListener.open('127.0.0.1', 0, 10)
    const server = Reflect.get(early, 'server') as Server
    failAccept(server)
    failAccept(server)
    early.close()
  })
})
