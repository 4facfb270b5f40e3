/**
 * A proxy before one host, for connections and datagrams. Connections that are open can go silent for good, without a
 * reset, while new ones work.
 */
import { createSocket } from 'node:dgram'
import { readFileSync, readdirSync, readlinkSync } from 'node:fs'
import { connect, createServer } from 'node:net'

export class Proxy {
  #connections = new Set()
  #returnSockets = new Map()
  #server
  #datagrams

  /** @param from - address on which the proxy listens, and @param to - address of the host behind it; both on the same port */
  constructor (from, to, port) {
    this.from = from
    this.to = to
    this.port = port
  }

  async listen () {
    this.#server = createServer({ noDelay: true }, caller => { this.#accept(caller) })
    await new Promise((resolve, reject) => { this.#server.once('error', reject).listen({ host: this.from, port: this.port }, resolve) })
    this.#datagrams = createSocket('udp4')
    this.#datagrams.on('message', (bytes, sender) => { this.#returnSocket(sender).send(bytes, this.port, this.to) })
    await new Promise((resolve, reject) => { this.#datagrams.once('error', reject).bind(this.port, this.from, resolve) })
  }

  /** Silences the open connections of a process: nothing passes in either direction any more. @returns how many */
  silenceConnectionsOf (pid) {
    const ports = localPortsOf(pid)
    const silenced = [...this.#connections].filter(({ caller, isSilent }) => !isSilent && ports.has(caller.remotePort))
    for (const connection of silenced) {
      connection.isSilent = true
      connection.caller.pause()
      connection.callee.pause()
    }
    return silenced.length
  }

  close () {
    this.#server.close()
    for (const { caller, callee } of this.#connections) {
      caller.destroy()
      callee.destroy()
    }
    for (const socket of this.#returnSockets.values()) socket.close()
    this.#datagrams.close()
  }

  #accept (caller) {
    const callee = connect({ host: this.to, port: this.port, noDelay: true })
    const connection = { caller, callee, isSilent: false }
    this.#connections.add(connection)
    for (const [near, far] of [[caller, callee], [callee, caller]]) {
      near.on('data', bytes => { if (!connection.isSilent) far.write(bytes) })
      near.on('end', () => { if (!connection.isSilent) far.end() })
      near.on('error', () => { if (!connection.isSilent) far.destroy() })
      near.on('close', () => {
        if (connection.isSilent) return
        far.destroy()
        this.#connections.delete(connection)
      })
    }
  }

  #returnSocket (sender) {
    const key = `${sender.address}:${sender.port}`
    const present = this.#returnSockets.get(key)
    if (present !== undefined) return present
    const socket = createSocket('udp4')
    socket.on('error', () => {})
    socket.on('message', bytes => { this.#datagrams.send(bytes, sender.port, sender.address) })
    this.#returnSockets.set(key, socket)
    return socket
  }
}

/** Returns the local ports of the TCP connections of a process that the case started. */
function localPortsOf (pid) {
  const inodes = new Set()
  for (const name of readdirSync(`/proc/${pid}/fd`)) {
    let link = ''
    try { link = readlinkSync(`/proc/${pid}/fd/${name}`) } catch {}
    const match = /^socket:\[(\d+)\]$/.exec(link)
    if (match !== null) inodes.add(match[1])
  }
  const ports = new Set()
  for (const line of readFileSync(`/proc/${pid}/net/tcp`, 'utf8').split('\n').slice(1)) {
    const fields = line.trim().split(/\s+/)
    if (inodes.has(fields[9])) ports.add(parseInt(fields[1].split(':')[1], 16))
  }
  return ports
}
