import { execFileSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { createServer as createHttpServer, get } from 'node:http'
import { connect } from 'node:net'
import { describe, expect, it } from 'vitest'
import { EarlyListener } from './EarlyListener.js'

const SOMAXCONN_FILE = '/proc/sys/net/core/somaxconn'

/** Opens connections and prints how many were established when all are, or none has been for two seconds. */
const CONNECTING_PROGRAM = `
  const [port, count] = process.argv.slice(1).map(Number)
  const end = () => { process.stdout.write(String(established)); process.exit() }
  let established = 0
  let timer
  const progress = () => { clearTimeout(timer); timer = setTimeout(end, 2000) }
  progress()
  for (let made = 0; made < count; made += 1) {
    require('node:net').connect(port, '127.0.0.1', () => { established += 1; established === count ? end() : progress() }).on('error', () => {})
  }
`

/** @returns number of connections that are established while this process does not accept any */
function establishWithoutAccept (port: number, count: number): number {
  // The call blocks the event loop, so that the connections stay in the accept queue.
  return Number(execFileSync(process.execPath, ['-e', CONNECTING_PROGRAM, String(port), String(count)], { encoding: 'utf8' }))
}

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
  it('transfers waiting connections to another server, which then accepts new ones', async () => {
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

  // Guards against a burst of connections that loses its SYNs because the transferred port has the default queue of 511.
  it.runIf(existsSync(SOMAXCONN_FILE))('keeps the length of the accept queue when it transfers the port', async () => {
    const early = await EarlyListener.open('127.0.0.1', 0, 1000)
    const server = createHttpServer()
    await early.transferTo(server)
    const room = Math.min(1000, Number(readFileSync(SOMAXCONN_FILE, 'utf8')))
    expect(establishWithoutAccept(early.port, 600)).toBeGreaterThanOrEqual(Math.min(600, room))
    server.close()
    server.closeAllConnections()
  }, 60_000)

  it('closes its connections if they were not transferred', async () => {
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
