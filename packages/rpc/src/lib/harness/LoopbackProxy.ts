/**
 * Forwards traffic between two processes and simulates network faults: delay, resets, loss
 * of one direction, or of both. Bytes that a cut holds back arrive once it is healed.
 * Open connections can also go silent for good, without a reset, while new ones work.
 * Forwards TCP connections and, on the same port, UDP datagrams.
 */
import { createSocket, type RemoteInfo, type Socket as DatagramSocket } from 'node:dgram'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Faults of a link. */
export const LINK_FAULTS = ['delay', 'reset', 'cut-towards', 'cut-back', 'silence'] as const
export type LinkFault = typeof LINK_FAULTS[number]

/** What becomes of the connections of one host: all are reset, none carries anything, or those that are open go on and new ones are reset. */
export const HOST_CUTS = ['reset', 'silence', 'refuse-new'] as const
export type HostCut = typeof HOST_CUTS[number]

/** Delay of each chunk while the link is slow, in milliseconds: far above that of loopback, below most timeouts. */
const DELAY_MS = 120

/** Interval between attempts to forward buffered chunks, in milliseconds. */
const FLUSH_INTERVAL_MS = 10

const HOST = '127.0.0.1'

export type Direction = 'towards' | 'back'

/** A forwarded connection, and the directions in which it carries nothing any more. */
interface ForwardedConnection {
  readonly host: string
  readonly silent: Set<Direction>
}

interface BufferedChunk { readonly bytes: Buffer | 'end', readonly dueAt: number }

/** Buffer of one direction of a connection. */
class DirectionBuffer {
  readonly #chunks: BufferedChunk[] = []

  /**
   * @param to - socket to write to
   * @param isSilenced - whether nothing is written for now
   */
  constructor (private readonly to: Socket, private readonly isSilenced: () => boolean) {}

  push (bytes: Buffer | 'end', dueAt: number): void {
    this.#chunks.push({ bytes, dueAt })
  }

  flush (now: number): void {
    if (this.isSilenced()) return
    while (this.#chunks[0] !== undefined && this.#chunks[0].dueAt <= now) {
      const bytes = this.#chunks.shift()?.bytes
      if (bytes === 'end') this.to.end()
      else if (bytes !== undefined && this.to.writable) this.to.write(bytes)
    }
  }
}

/** A proxy whose address stays the same while the process behind it is replaced. */
export class LoopbackProxy {
  readonly #server: Server = createServer({ allowHalfOpen: true }, socket => { this.#accept(socket) })
  #datagrams: DatagramSocket = createSocket('udp4')
  readonly #returnSockets = new Map<string, DatagramSocket>()
  readonly #sockets = new Set<Socket>()
  readonly #buffers = new Map<Direction, Set<DirectionBuffer>>([['towards', new Set()], ['back', new Set()]])
  #timer: NodeJS.Timeout | undefined
  #fault: LinkFault | undefined
  readonly #cutHosts = new Map<string, HostCut>()
  readonly #connections = new Set<ForwardedConnection>()
  /** Port of the process behind the proxy; undefined before its first start. */
  target: number | undefined

  /**
   * @param firstPort - port to try first; 0 for any that is free
   * @returns the address on which the proxy listens
   */
  async listen (firstPort = 0): Promise<string> {
    let port = await this.#openPort(firstPort)
    // A port that is free for TCP may be in use for UDP.
    while (!await this.#bindDatagrams(port)) {
      await new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
      port = await this.#openPort(0)
    }
    this.#datagrams.on('message', (bytes, sender) => { this.#forward(bytes, sender) })
    this.#timer = setInterval(() => { this.#flushAll() }, FLUSH_INTERVAL_MS)
    return `${HOST}:${port}`
  }

  /** @param fault - fault that the link has from now on; undefined for none */
  setFault (fault: LinkFault | undefined): void {
    this.#fault = fault
    if (fault !== 'reset') return
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  /**
   * @param host - IP address of a host that connects to this proxy
   * @param cut - what becomes of its connections from now on; undefined if its link is sound again
   */
  setHostCut (host: string, cut: HostCut | undefined): void {
    if (cut !== undefined) this.#cutHosts.set(host, cut)
    else if (this.#cutHosts.get(host) === 'silence') this.#resetAllOf(host)
    if (cut === undefined) this.#cutHosts.delete(host)
    if (cut === 'reset') this.#resetAllOf(host)
  }

  /**
   * Silences the connections that are open now, for good and without a reset; new ones work.
   *
   * @param directions - directions in which nothing arrives any more
   * @param host - IP address of the host whose connections are meant; all hosts if absent
   * @returns number of connections that became silent
   */
  silenceOpenConnections (directions: readonly Direction[] = ['towards', 'back'], host?: string): number {
    let count = 0
    for (const connection of this.#connections) {
      if (connection.silent.size > 0 || (host !== undefined && connection.host !== host)) continue
      for (const direction of directions) connection.silent.add(direction)
      count += 1
    }
    return count
  }

  #resetAllOf (host: string): void {
    for (const socket of this.#sockets) if (socket.remoteAddress === host) socket.resetAndDestroy()
  }

  /** Closes the proxy and all its connections. */
  close (): void {
    clearInterval(this.#timer)
    for (const socket of this.#sockets) socket.destroy()
    for (const socket of this.#returnSockets.values()) socket.close()
    this.#datagrams.close()
    this.#server.close()
  }

  /** Listens on any free port if another process is using the wanted one. */
  async #openPort (wanted: number): Promise<number> {
    if (!await this.#bindConnections(wanted) && !await this.#bindConnections(0)) throw new Error(`no free TCP port on ${HOST}`)
    return (this.#server.address() as AddressInfo).port
  }

  async #bindConnections (port: number): Promise<boolean> {
    return await new Promise<boolean>(resolve => {
      const fail = (): void => { resolve(false) }
      this.#server.once('error', fail)
      this.#server.listen(port, HOST, () => {
        this.#server.off('error', fail)
        resolve(true)
      })
    })
  }

  async #bindDatagrams (port: number): Promise<boolean> {
    return await new Promise<boolean>(resolve => {
      this.#datagrams.once('error', () => {
        this.#datagrams.close()
        this.#datagrams = createSocket('udp4')
        resolve(false)
      })
      this.#datagrams.bind(port, HOST, () => { resolve(true) })
    })
  }

  #accept (caller: Socket): void {
    this.#track(caller)
    const host = caller.remoteAddress ?? ''
    const cut = this.#cutHosts.get(host)
    if (this.#fault === 'reset' || this.target === undefined || cut === 'reset' || cut === 'refuse-new') {
      caller.resetAndDestroy()
      return
    }
    const callee = connect({ port: this.target, host: HOST, allowHalfOpen: true, noDelay: true })
    caller.setNoDelay(true)
    this.#track(callee)
    const connection: ForwardedConnection = { host, silent: new Set() }
    this.#connections.add(connection)
    caller.on('close', () => { this.#connections.delete(connection) })
    this.#pipe(caller, callee, 'towards', connection)
    this.#pipe(callee, caller, 'back', connection)
  }

  #pipe (from: Socket, to: Socket, direction: Direction, connection: ForwardedConnection): void {
    const isSilenced = (): boolean => connection.silent.has(direction) || this.#cutHosts.get(connection.host) === 'silence'
    const held = new DirectionBuffer(to, isSilenced)
    this.#buffers.get(direction)?.add(held)
    const push = (bytes: Buffer | 'end'): void => {
      held.push(bytes, this.#fault === 'delay' ? performance.now() + DELAY_MS : 0)
      if (this.#isForwarding(direction)) held.flush(performance.now())
    }
    from.on('data', push)
    from.on('end', () => { push('end') })
    from.on('close', hadError => {
      if (hadError && !connection.silent.has(direction)) to.resetAndDestroy()
    })
    to.on('close', () => { this.#buffers.get(direction)?.delete(held) })
  }

  #track (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#sockets.delete(socket) })
  }

  #isForwarding (direction: Direction): boolean {
    if (this.#fault === 'silence') return false
    return this.#fault !== (direction === 'towards' ? 'cut-towards' : 'cut-back')
  }

  #flushAll (): void {
    const now = performance.now()
    for (const [direction, all] of this.#buffers) {
      if (this.#isForwarding(direction)) for (const held of all) held.flush(now)
    }
  }

  #forward (bytes: Buffer, sender: RemoteInfo): void {
    if (this.target === undefined || this.#fault === 'reset' || !this.#isForwarding('towards')) return
    this.#returnSocket(sender).send(bytes, this.target, HOST)
  }

  #returnSocket (sender: RemoteInfo): DatagramSocket {
    const key = `${sender.address}:${sender.port}`
    const existing = this.#returnSockets.get(key)
    if (existing !== undefined) return existing
    const socket = createSocket('udp4')
    // A failed send counts as a lost datagram.
    socket.on('error', () => {})
    socket.on('message', bytes => {
      if (this.#fault !== 'reset' && this.#isForwarding('back')) this.#datagrams.send(bytes, sender.port, sender.address)
    })
    this.#returnSockets.set(key, socket)
    return socket
  }
}
