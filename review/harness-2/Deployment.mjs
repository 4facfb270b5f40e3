/**
 * A small deployment on loopback addresses: the project's own programs as processes, started with the commands and the
 * environment of the deploy file, and a stand-in for the platform around them.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url))

/** Bounds of the sheet of lscsa-prod. */
export const LSCSA_BOUNDS = {
  SeedLagS: 3, ReuseAfterS: 2, StableWindowMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 3000, GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, DowngradeSlackMs: 250, MaxStretchMs: 5000, StrictRevoke: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 54, RecoveryS: 12, TransitMs: 120, ReuseWindowS: 20, RequireFencing: false, LeaseMs: 3000, ThawMs: 300, VersionMs: 12000, VersionAllMs: 17000
}

/** Bounds of the sheet of tmts-itin. */
export const TMTS_BOUNDS = { ...LSCSA_BOUNDS, BudgetSlack: 56, VersionMs: 6000, VersionAllMs: 8400 }

const ZONES = { north: 'home', central: 'home', south: 'home' }
const CONTRACTS = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'kvcache', 'stream', 'engine', 'tenants']

/** Longest wait for a step of the start, in milliseconds. */
const START_TIMEOUT_MS = 20_000

/** Time after which a process that was killed is started again, in milliseconds. */
export const RESTART_DELAY_MS = 500

/** Thrown when a case can't run. */
export class CannotRun extends Error {}

/** Milliseconds on the clock of the record. */
export function now () { return performance.now() }

/** Waits until a condition holds; an exception counts as false. */
export async function until (what, condition, timeoutMs = START_TIMEOUT_MS) {
  const deadline = now() + timeoutMs
  while (now() < deadline) {
    try {
      if (await condition()) return
    } catch { /* not yet */ }
    await sleep(25)
  }
  throw new CannotRun(`timed out: ${what}`)
}

/** Lines of record.txt. */
export class Record {
  #lines = []
  #start = now()

  note (text) { this.#lines.push(`${((now() - this.#start) / 1000).toFixed(3)} ${text}`) }

  at (time) { return ((time - this.#start) / 1000).toFixed(3) }

  write (path) { writeFileSync(path, this.#lines.join('\n') + '\n') }
}

/** One HTTP call on a connection of its own. */
export async function call (address, method, path, body, timeoutMs = 1000, headers = {}) {
  const [host, port] = address.split(':')
  return await new Promise((resolve, reject) => {
    const outgoing = request({ host, port: Number(port), method, path, agent: false, timeout: timeoutMs, headers: { ...(body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }), ...headers } }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() }))
      response.on('error', reject)
    })
    outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')))
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

/** Reads the commands, environments and templates of the roles from the deploy file. */
function readRoles () {
  const roles = {}
  let role, isEnvironment
  for (const line of readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8').split('\n')) {
    const table = /^\[roles\.(\w+)(\.env)?\]/.exec(line)
    if (table !== null) {
      isEnvironment = table[2] !== undefined
      role = roles[table[1]] ??= { environment: {} }
      continue
    }
    const entry = /^(\w+) = "(.*)"$/.exec(line)
    if (entry === null || role === undefined) continue
    if (isEnvironment) role.environment[entry[1]] = entry[2]
    else role[entry[1]] = entry[2]
  }
  return roles
}

/** Fills in the placeholders that the project's deploy file and template use. */
function fillIn (text, fields) {
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((table, key) => table?.[key], fields)
    if (json !== undefined) return JSON.stringify(value)
    if (Array.isArray(value)) return value.join(',')
    return value === undefined || value === null ? '' : typeof value === 'object' ? JSON.stringify(value) : String(value)
  })
}

async function isFree (host) {
  const server = createTcpServer()
  try {
    server.listen(0, host)
    await once(server, 'listening')
    return true
  } catch {
    return false
  } finally {
    server.close()
  }
}

async function freePort (host) {
  const server = createTcpServer()
  server.listen(0, host)
  await once(server, 'listening')
  const { port } = server.address()
  server.close()
  await once(server, 'close')
  return port
}

/** A machine with one process of the project. */
export class Machine {
  #child
  startedAt = 0

  constructor (deployment, name, role, settings) {
    this.deployment = deployment
    this.name = name
    this.role = role
    this.settings = settings
  }

  get address () { return this.settings.Listen.Front ?? this.settings.Listen.Control }
  get ip () { return this.settings.Ip }
  get isRunning () { return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null }
  get exit () { return this.#child?.signalCode ?? this.#child?.exitCode }
  get pid () { return this.#child?.pid }

  start () {
    const { roles, folder } = this.deployment
    const role = roles[this.role]
    const boot = join(folder, `${this.name}.settings`)
    writeFileSync(boot, fillIn(readFileSync(join(REPOSITORY, role.template), 'utf8'), this.settings))
    const environment = Object.fromEntries(Object.entries(role.environment).map(([key, value]) => [key, fillIn(value, this.settings)]))
    const [program, ...args] = role.run.split(' ').map((word, at) => at === 0 ? word : fillIn(word, this.settings))
    const log = openSync(join(folder, `${this.name}.log`), 'a')
    this.#child = spawn(program === 'node' ? process.execPath : program, args, { cwd: REPOSITORY, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: folder, EELGRASSMUX_BOOT: boot, ...environment } })
    closeSync(log)
    this.startedAt = now()
  }

  signal (name) { this.#child.kill(name) }

  async kill () {
    if (!this.isRunning) return
    const ended = once(this.#child, 'exit')
    this.#child.kill('SIGKILL')
    await ended
  }

  async ended () { if (this.isRunning) await once(this.#child, 'exit') }

  get log () { return readFileSync(join(this.deployment.folder, `${this.name}.log`), 'utf8') }
}

/** The platform's list of instances, over the servers of a deployment. */
class InstanceListServer {
  constructor (instances) {
    this.server = createServer((message, response) => {
      message.resume()
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify({ Instances: instances().map(instance => instance.listed).filter(entry => entry !== undefined), Next: null }))
    })
  }
}

/** Control machines, front machines, servers and the platform. */
export class Deployment {
  machines = []
  controls = []
  fronts = []
  servers = []
  roles = readRoles()
  #network
  #hosts = 10

  /**
   * @param bounds - bounds of the sheet
   * @param losses - machines with a disk that may be lost at the same time
   */
  constructor (bounds, losses = 1) {
    this.bounds = bounds
    this.losses = losses
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
  }

  async prepare () {
    for (let tries = 0; this.#network === undefined; tries += 1) {
      const candidate = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
      if (await isFree(`${candidate}.1`)) this.#network = candidate
      if (tries > 20) throw new CannotRun('no loopback network is free')
    }
    this.platformIp = `${this.#network}.1`
    this.ports = { control: await freePort(this.platformIp), front: await freePort(this.platformIp), ready: await freePort(this.platformIp), peer: await freePort(this.platformIp) }
    this.list = new InstanceListServer(() => this.servers)
    this.list.server.listen(0, this.platformIp)
    await once(this.list.server, 'listening')
    this.listAddress = `${this.platformIp}:${this.list.server.address().port}`
  }

  nextIp () {
    this.#hosts += 1
    return `${this.#network}.${this.#hosts}`
  }

  addMachine (role, zone) {
    const ip = this.nextIp()
    const isCore = role === 'control'
    const name = `${isCore ? 'core' : 'front'}-${zone}-${this.machines.length + 1}`
    const dataFolder = join(this.folder, name)
    if (isCore) mkdirSync(dataFolder)
    const machine = new Machine(this, name, role, {
      Node: name, Role: role, MachineClass: isCore ? 'core' : 'front', Serves: [isCore ? 'control' : 'front'], Ip: ip, Zone: zone, Region: 'home', Zones: ZONES, Listen: isCore ? { Control: `${ip}:${this.ports.control}` } : { Front: `${ip}:${this.ports.front}`, ReadyAddr: `${ip}:${this.ports.ready}` }, PortRange: [this.ports.peer, this.ports.peer + 15], Seeds: [], Bootstrap: true, LossCounts: isCore, Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 346, MaxFds: 4096, LinkMbps: 1000, DiskMb: isCore ? 128 : 0 }, DataDir: isCore ? dataFolder : null, Discovery: 'cloud', Entry: 'vip', HeartbeatMs: 1200, Contracts: CONTRACTS, FaultTolerance: { Machines: this.losses, Zones: 0, Regions: 0 }, Bounds: this.bounds, ConfigMode: 'highest', CloudApi: { Address: this.listAddress, RatePerS: 44, Duties: [], LagMs: 800 }
    })
    this.machines.push(machine)
    ;(isCore ? this.controls : this.fronts).push(machine)
    return machine
  }

  /** Starts all machines at the same time and puts the first configuration. */
  async start (controls, fronts, configuration) {
    const zones = Object.keys(ZONES)
    for (let at = 0; at < controls; at += 1) this.addMachine('control', zones[at % zones.length])
    for (let at = 0; at < fronts; at += 1) this.addMachine('entry', zones[at % zones.length])
    const seeds = this.controls.slice(0, 3).map(machine => machine.address)
    for (const machine of this.machines) machine.settings.Seeds = seeds
    for (const machine of this.machines) machine.start()
    for (const machine of this.machines) machine.settings.Bootstrap = false
    await until('the first configuration is acknowledged', async () => await this.put(configuration) === 200)
    for (const front of this.fronts) await this.untilReady(front)
  }

  async untilReady (front, timeoutMs) {
    await until(`${front.name} is ready`, async () => await this.isReady(front), timeoutMs)
  }

  async isReady (front) {
    return (await call(front.settings.Listen.ReadyAddr, 'GET', '/ready')).status === 200
  }

  /** Sends an order of the operator to control machines in turn until it is acknowledged. */
  async order (path, body, first = 0, timeoutMs = 10_000) {
    const deadline = now() + timeoutMs
    for (let at = first; now() < deadline; at += 1) {
      const machine = this.controls[at % this.controls.length]
      try {
        const answer = await call(machine.address, 'POST', path, JSON.stringify(body))
        if (answer.status === 200 || [400, 409, 412, 413, 422].includes(answer.status)) return answer.status
      } catch { /* the next one */ }
      await sleep(50)
    }
    return 0
  }

  async put (configuration) { return await this.order('/config/put', configuration) }

  async stop () {
    for (const machine of this.machines) {
      if (!machine.isRunning) continue
      machine.signal('SIGCONT')
      await machine.kill()
    }
    for (const server of this.servers) server.close()
    this.list?.server.closeAllConnections()
    this.list?.server.close()
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
  }
}

/**
 * Runs a case: writes its record, ends what it started, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
 *
 * @param folder - URL of the case's module
 * @param play - plays the case; returns the breaks of the rule as texts
 */
export async function runCase (module, makeDeployment, play) {
  const record = new Record()
  const withTrouble = process.env.TROUBLE !== '0'
  const deployment = makeDeployment()
  let status = 2
  const overdue = setTimeout(() => {
    record.note('the case took too long')
    void finish()
  }, 115_000)
  const finish = async () => {
    clearTimeout(overdue)
    await deployment.stop()
    record.write(fileURLToPath(new URL('record.txt', module)))
    process.exit(status)
  }
  for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => { void finish() })
  try {
    record.note(withTrouble ? 'with the disruption' : 'without the disruption')
    await deployment.prepare()
    const breaks = await play(deployment, record, withTrouble)
    for (const text of breaks) record.note(`BROKEN ${text}`)
    record.note(breaks.length === 0 ? 'the rule held' : `the rule was broken ${breaks.length} times`)
    console.log(breaks.length === 0 ? 'the rule held' : `the rule was broken ${breaks.length} times, first: ${breaks[0]}`)
    status = breaks.length === 0 ? 0 : 1
  } catch (error) {
    record.note(`could not run: ${error.stack}`)
    console.log(`could not run: ${error.message}`)
  }
  await finish()
}
