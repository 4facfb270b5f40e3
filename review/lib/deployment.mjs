/**
 * A small deployment on loopback addresses: the project's deployed programs as processes, started with the commands and
 * the environment of deploy/system.toml, and stand-ins for the platform, the operator, replicas and clients.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, existsSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request as httpRequest } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

export { sleep }

/** Exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..')

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Bounds of the users' sheets that the rules refer to, in milliseconds. */
export const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  StableWindowMs: 3000,
  AckMs: 4000,
  CatchUpS: 4,
  DrainMs: 3000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  DowngradeSlackMs: 250,
  MaxStretchMs: 5000,
  StrictRevoke: false,
  RevokeMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  BudgetSlack: 54,
  RecoveryS: 12,
  TransitMs: 120,
  ReuseWindowS: 20,
  RequireFencing: false,
  LeaseMs: 3000,
  ThawMs: 300,
  VersionMs: 12000,
  VersionAllMs: 17000
}

/** Writes what was sent, answered and run to record.txt in the folder of the case. */
export class Record {
  #path
  #startedAt = performance.now()

  constructor (folder) {
    this.#path = join(folder, 'record.txt')
    writeFileSync(this.#path, '')
  }

  write (text) {
    appendFileSync(this.#path, `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} s  ${text}\n`)
  }
}

/** Reads the command and the environment of a role from deploy/system.toml. */
function readRole (role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = (name) => {
    const from = text.indexOf(`[${name}]`)
    const rest = text.slice(from + name.length + 2)
    const end = rest.search(/^\[/m)
    return Object.fromEntries([...(end < 0 ? rest : rest.slice(0, end)).matchAll(/^(\w+) = "(.*)"$/gm)].map(([, key, value]) => [key, value]))
  }
  return { run: section(`roles.${role}`).run, template: section(`roles.${role}`).template, env: section(`roles.${role}.env`) }
}

/** Fills in placeholders of the deploy file: {{a.b}}, {{a.0}} and {{a|json}}. */
function fill (text, fields) {
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((at, key) => at?.[key], fields)
    if (json !== undefined) return JSON.stringify(value ?? null)
    if (value === undefined || value === null) return ''
    if (Array.isArray(value)) return value.join(',')
    return typeof value === 'object' ? JSON.stringify(value) : String(value)
  })
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createTcpServer()
    server.once('error', () => { resolve(false) })
    server.listen({ host, port }, () => { server.close(() => { resolve(true) }) })
  })
}

/** Processes that are running; they end with this process, whatever happens. */
const started = new Set()
process.once('exit', () => { for (const child of started) child.kill('SIGKILL') })

/** A process of the project. It is started again with the same settings if the case asks for it. */
class Machine {
  #child
  #exit

  constructor (name, role, fields, folder, extraEnv) {
    this.name = name
    this.fields = fields
    const { run, template, env } = readRole(role)
    this.#command = run.split(' ')
    this.bootPath = join(folder, `${name}.json`)
    this.logPath = join(folder, `${name}.log`)
    this.#template = readFileSync(join(ROOT, template), 'utf8')
    this.writeSettings()
    this.#env = {
      PATH: process.env.PATH,
      HOME: process.env.HOME ?? folder,
      LANG: process.env.LANG ?? 'C',
      EELGRASSMUX_BOOT: this.bootPath,
      ...Object.fromEntries(Object.entries(env).map(([key, value]) => [key, fill(value, fields)])),
      ...extraEnv
    }
  }

  #command
  #template
  #env

  writeSettings () {
    writeFileSync(this.bootPath, fill(this.#template, this.fields))
  }

  get pid () { return this.#child?.pid }
  get isRunning () { return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null }
  get exitCode () { return this.#child?.exitCode ?? null }

  start () {
    const log = openSync(this.logPath, 'a')
    const [program, ...args] = this.#command
    this.#child = spawn(program, args, { cwd: ROOT, env: this.#env, stdio: ['ignore', log, log] })
    this.#exit = new Promise(resolve => { this.#child.once('exit', resolve) })
    started.add(this.#child)
    this.#child.once('exit', () => { started.delete(this.#child) })
  }

  signal (name) { this.#child.kill(name) }

  async kill () {
    if (this.isRunning) this.#child.kill('SIGKILL')
    await this.#exit
  }
}

/** Sends one HTTP request. Resolves to the status, headers and body, or to an error. */
export async function send ({ host, port, method = 'GET', path = '/', headers = {}, body, timeoutMs = 5000, agent }) {
  return await new Promise(resolve => {
    const outgoing = httpRequest({ host, port, method, path, headers, agent }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('end', () => { resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() }) })
      response.on('error', error => { resolve({ error: String(error) }) })
    })
    outgoing.setTimeout(timeoutMs, () => { outgoing.destroy(new Error('no answer in time')) })
    outgoing.on('error', error => { resolve({ error: String(error) }) })
    outgoing.end(body)
  })
}

/** A deployment. */
export class Deployment {
  controls = []
  entries = []
  instances = []
  /** Fields of all instances in the list, as the platform states them. */
  #closers = []
  #version = 0

  /** @param options - number of control hosts and entry hosts, losses to be borne, contracts, bounds, and a function for further settings of a machine */
  constructor (record, { controls = 3, entries = 2, losses = 1, bounds = {}, lagMs = 800, settingsOf = () => ({}) } = {}) {
    this.record = record
    this.options = { controls, entries, losses, lagMs, settingsOf }
    this.bounds = { ...BOUNDS, ...bounds }
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    // Addresses of their own, so that runs beside each other do not meet.
    this.net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
  }

  controlIp (index) { return `${this.net}.${10 + index}` }
  entryIp (index) { return `${this.net}.${30 + index}` }
  proxyIp (index) { return `${this.net}.${50 + index}` }

  async start () {
    if (!existsSync(join(ROOT, 'target/start.cjs'))) throw new Error('target/ is not built')
    await this.#choosePorts()
    await this.#serveList()
    const { controls, entries, losses, settingsOf } = this.options
    const contact = index => `${settingsOf('control', index).EELGRASSMUX_ADVERTISE?.split(':')[0] ?? this.controlIp(index)}:${this.ports.operator}`
    const common = {
      Zones: { 'hall-a': 'region-1' },
      Region: 'region-1',
      Zone: 'hall-a',
      Seeds: Array.from({ length: Math.min(3, controls) }, (_, index) => contact(index)),
      Contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'kvcache', 'stream', 'engine', 'tenants'],
      PortRange: [this.ports.peer, this.ports.peer + 15],
      FaultTolerance: { Machines: losses, Zones: 0, Regions: 0 },
      Bounds: this.bounds,
      Bootstrap: true,
      CloudApi: { Address: `${this.net}.2:${this.ports.list}`, RatePerS: 44, Duties: [], LagMs: this.options.lagMs },
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 128 }
    }
    for (let index = 0; index < controls; index += 1) {
      const dataDir = join(this.folder, `disk-${index}`)
      mkdirSync(dataDir)
      const fields = { ...common, Node: `core-${index}`, Ip: this.controlIp(index), Listen: { Control: `${this.controlIp(index)}:${this.ports.operator}` }, DataDir: dataDir }
      this.controls.push(new Machine(`control-${index}`, 'control', fields, this.folder, { EELGRASSMUX_ADMIN_PORT: String(this.ports.admin), ...settingsOf('control', index) }))
    }
    for (let index = 0; index < entries; index += 1) {
      const ip = this.entryIp(index)
      const fields = { ...common, Node: `front-${index}`, Ip: ip, Listen: { Front: `${ip}:${this.ports.front}`, ReadyAddr: `${ip}:${this.ports.ready}` }, DataDir: null }
      this.entries.push(new Machine(`entry-${index}`, 'entry', fields, this.folder, { EELGRASSMUX_ADMIN_PORT: String(this.ports.admin), ...settingsOf('entry', index) }))
    }
    // "All machines start within 0.3 s of each other in any order."
    for (const machine of this.entries) machine.start()
    await sleep(300)
    for (const machine of this.controls) machine.start()
  }

  async #choosePorts () {
    const hosts = [2, ...Array.from({ length: 60 }, (_, index) => 10 + index)].map(last => `${this.net}.${last}`)
    const base = 20_000 + Math.floor(Math.random() * 300) * 100
    this.ports = { peer: base, operator: base + 20, front: base + 21, ready: base + 22, admin: base + 23, list: base + 24, replica: base + 25 }
    for (const host of hosts.slice(0, 12)) {
      for (const port of Object.values(this.ports)) if (!await isFree(host, port)) throw new Error(`port ${port} of ${host} is in use`)
    }
  }

  /** The platform's list of instances, which lags. */
  async #serveList () {
    const server = createServer((request, response) => {
      const shown = this.instances.filter(instance => instance.isShown)
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify({ Instances: shown.map(instance => instance.listed), Next: null }))
    })
    await new Promise(resolve => { server.listen({ host: `${this.net}.2`, port: this.ports.list }, resolve) })
    this.onClose(() => { server.closeAllConnections(); server.close() })
  }

  /** @param closer - called when the deployment stops */
  onClose (closer) { this.#closers.push(closer) }

  /** Puts a configuration, as an operator does: again at the next control host until one acknowledges it. */
  async putConfig (document) {
    this.#version = Math.max(this.#version, document.Version)
    const body = JSON.stringify(document)
    for (let attempt = 0; ; attempt += 1) {
      const index = attempt % this.controls.length
      const sentAt = performance.now()
      const answer = await send({ host: this.controlIp(index), port: this.ports.operator, method: 'POST', path: '/config/put', headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }, body, timeoutMs: 1000 })
      if (answer.status === 200) {
        this.record.write(`the operator sends configuration ${document.Version} to control-${index}: 200`)
        return { sentAt, acknowledgedAt: performance.now() }
      }
      if (answer.status >= 400 && answer.status < 500) throw new Error(`configuration ${document.Version} is refused: ${answer.status} ${answer.body}`)
      if (attempt > 300) throw new Error(`configuration ${document.Version} is not acknowledged: ${JSON.stringify(answer)}`)
      await sleep(100)
    }
  }

  /** Waits until all entry hosts are ready. */
  async whenReady (withinMs = 40_000) {
    const deadline = performance.now() + withinMs
    for (const entry of this.entries) {
      for (;;) {
        const answer = await send({ host: entry.fields.Ip, port: this.ports.ready, path: '/ready', timeoutMs: 500 })
        if (answer.status === 200) break
        if (performance.now() > deadline) throw new Error(`${entry.name} is not ready: ${JSON.stringify(answer)}`)
        await sleep(50)
      }
    }
    this.record.write('all entry hosts are ready')
  }

  async stop () {
    for (const machine of [...this.entries, ...this.controls]) {
      try { machine.signal('SIGCONT') } catch {}
      await machine.kill()
    }
    for (const close of this.#closers) close()
    if (process.env.KEEP_LOGS === '1') console.error(`logs are in ${this.folder}`)
    else rmSync(this.folder, { recursive: true, force: true })
  }
}

/** A client with a connection of its own that it keeps. */
export class Client {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 })

  constructor (host, port, name) {
    this.host = host
    this.port = port
    this.name = name
  }

  async send (options) {
    return await send({ host: this.host, port: this.port, agent: this.#agent, ...options })
  }

  close () { this.#agent.destroy() }
}

let nextId = Math.floor(Math.random() * 0xffffffff)

/** Returns a new id, as each attempt of a client has. */
export function newId () {
  nextId += 1
  return nextId.toString(16).padStart(16, '0')
}

/** Runs a case and ends the process with its exit code. */
export async function play (folder, body) {
  const record = new Record(folder)
  record.write(hasTrouble ? 'played with the disruption' : 'played without the disruption (TROUBLE=0)')
  let code = NOT_RUN
  let deployment
  try {
    code = await body(record, made => { deployment = made })
  } catch (error) {
    record.write(`the case could not run: ${error.stack ?? error}`)
    console.error(error)
  }
  await deployment?.stop()
  const outcome = { [HELD]: 'the rule held', [BROKEN]: 'the rule was broken', [NOT_RUN]: 'the case could not run' }[code]
  record.write(outcome)
  console.log(outcome)
  process.exit(code)
}
