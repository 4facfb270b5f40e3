import { createSocket } from 'node:dgram'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { LoopbackProxy } from './LoopbackProxy.js'

describe('LoopbackProxy', () => {
  let proxy: LoopbackProxy
  let echo: Server
  let caller: Socket
  let arrived: string[]

  beforeEach(async () => {
    arrived = []
    echo = createServer(socket => {
      socket.on('error', () => { socket.destroy() })
      socket.on('data', bytes => {
        arrived.push(bytes.toString())
        socket.write(bytes)
      })
    })
    await new Promise<void>(resolve => { echo.listen(0, '127.0.0.1', resolve) })
    proxy = new LoopbackProxy()
    const [host, port] = (await proxy.listen()).split(':')
    proxy.target = (echo.address() as AddressInfo).port
    caller = connect(Number(port), host ?? '')
    await once(caller, 'connect')
  })

  afterEach(() => {
    caller.destroy()
    proxy.close()
    echo.close()
  })

  /**
   * Guards against a soak that fails at the start with "address in use". A proxy chose a port that was free
   * for TCP and bound the same port for UDP, although another process on the host was using it there.
   */
  it('listens on another port if the wanted one is in use for UDP', async () => {
    const other = createSocket('udp4')
    await new Promise<void>(resolve => { other.bind(0, '127.0.0.1', resolve) })
    const { port } = other.address()
    const second = new LoopbackProxy()
    const address = await second.listen(port)
    expect(address).not.toBe(`127.0.0.1:${port}`)
    second.close()
    other.close()
  })

  // Guards against a start that fails because another process is using the wanted port for TCP.
  it('listens on another port if the wanted one is in use for TCP', async () => {
    const second = new LoopbackProxy()
    const port = Number((await second.listen()).split(':')[1])
    const third = new LoopbackProxy()
    expect(await third.listen(port)).not.toBe(`127.0.0.1:${port}`)
    second.close()
    third.close()
  })

  async function exchange (text: string): Promise<string> {
    const answer = once(caller, 'data')
    caller.write(text)
    return String((await answer)[0])
  }

  it('forwards bytes in both directions', async () => {
    expect(await exchange('one')).toBe('one')
  })

  it('forwards delayed bytes', async () => {
    proxy.setFault('delay')
    expect(await exchange('one')).toBe('one')
  })

  it('forwards the bytes that a cut holds back, in order, once it is healed', async () => {
    expect(await exchange('one')).toBe('one')
    proxy.setFault('cut-back')
    caller.write('two')
    while (arrived.length < 2) await new Promise(resolve => { setImmediate(resolve) })
    expect(caller.bytesRead).toBe('one'.length)
    const answer = once(caller, 'data')
    proxy.setFault(undefined)
    expect(String((await answer)[0])).toBe('two')
  })

  it('carries nothing on connections that went silent, and everything on new ones', async () => {
    expect(await exchange('one')).toBe('one')
    expect(proxy.silenceOpenConnections()).toBe(1)
    caller.write('two')
    const { remotePort = 0, remoteAddress = '' } = caller
    const second = connect(remotePort, remoteAddress)
    const answer = once(second, 'data')
    second.write('three')
    expect(String((await answer)[0])).toBe('three')
    expect(arrived).toEqual(['one', 'three'])
    expect(caller.closed).toBe(false)
    second.destroy()
  })

  it('resets open connections', async () => {
    expect(await exchange('one')).toBe('one')
    const answer = once(caller, 'data')
    proxy.setFault('reset')
    await expect(answer).rejects.toMatchObject({ code: 'ECONNRESET' })
  })
})
