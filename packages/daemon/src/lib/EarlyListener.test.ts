import { createServer as createHttpServer, get } from 'node:http'
import { connect } from 'node:net'
import { describe, expect, it } from 'vitest'
import { EarlyListener } from './EarlyListener.js'

async function fetchText (port: number): Promise<string> {
  return await new Promise((resolve, reject) => {
    get({ host: '127.0.0.1', port, agent: false }, response => {
      let text = ''
      response.on('data', chunk => { text += String(chunk) })
      response.on('end', () => { resolve(text) })
    }).on('error', reject)
  })
}

describe('EarlyListener', () => {
  it('keeps connections for the server that comes later, and lets it take new ones', async () => {
    const early = await EarlyListener.open('127.0.0.1', 0, 10)
    const before = fetchText(early.port)
    await new Promise(resolve => setTimeout(resolve, 30))
    const server = createHttpServer((_request, response) => { response.end('served') })
    await early.transferTo(server)
    early.close()
    expect(await before).toBe('served')
    expect(await fetchText(early.port)).toBe('served')
    server.close()
    server.closeAllConnections()
  })

  it('ends with its connections when nobody takes over', async () => {
    const early = await EarlyListener.open('127.0.0.1', 0, 10)
    const socket = connect(early.port, '127.0.0.1')
    socket.on('error', () => {})
    await new Promise(resolve => socket.once('connect', resolve))
    const closed = new Promise(resolve => socket.once('close', resolve))
    await new Promise(resolve => setTimeout(resolve, 30))
    early.close()
    await closed
    await expect(fetchText(early.port)).rejects.toThrow()
  })
})
