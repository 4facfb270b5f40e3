import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { GATHER_MS, GatheredReads } from './GatheredReads.js'

/** Pause between pieces, in milliseconds: several in one interval of common readings. */
const PIECE_MS = 15

describe('GatheredReads', () => {
  let server: Server
  let peer: Socket
  let socket: Socket
  let pieces: string[]
  let reads: GatheredReads

  beforeEach(async () => {
    server = createServer()
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const accepted = once(server, 'connection') as Promise<[Socket]>
    socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    peer = (await accepted)[0]
    pieces = []
    reads = new GatheredReads()
    socket.on('readable', () => {
      for (let piece = socket.read() as Buffer | null; piece !== null; piece = socket.read() as Buffer | null) pieces.push(piece.toString())
    })
  })
  afterEach(() => {
    socket.destroy()
    peer.destroy()
    server.close()
  })

  async function send (count: number): Promise<void> {
    for (let piece = 0; piece < count; piece += 1) {
      peer.write('x')
      await sleep(PIECE_MS)
    }
  }

  async function arrived (bytes: number): Promise<void> {
    while (pieces.join('').length < bytes) await sleep(5)
  }

  it('reads small pieces of a stream in few turns, and all of them', async () => {
    const count = 40
    socket.on('readable', () => { queueMicrotask(() => { reads.hold(socket) }) })
    await send(count)
    await arrived(count)
    expect(pieces.join('')).toHaveLength(count)
    expect(pieces.length).toBeLessThan(count / 2)
  })

  it('reads a socket that is released at once, and later pieces as they come', async () => {
    reads.hold(socket)
    peer.write('a')
    await sleep(GATHER_MS / 4)
    reads.release(socket)
    await arrived(1)
    peer.write('b')
    await arrived(2)
    expect(pieces).toEqual(['a', 'b'])
    expect(reads.size).toBe(0)
  })

  it('notices the end of a connection that was held', async () => {
    const ended = once(socket, 'close')
    reads.hold(socket)
    peer.end()
    await ended
    expect(socket.destroyed).toBe(true)
  })

  it('takes sockets that are gone', () => {
    socket.destroy()
    reads.hold(socket)
    reads.release(socket)
    expect(reads.size).toBe(0)
  })
})
