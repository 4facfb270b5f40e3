/** RECOVER: after some hundred changes of a configuration with 350 more routes, fronts that start never serve again. */
import { setTimeout as sleep } from 'node:timers/promises'
import { call, Deployment, TMTS_BOUNDS, now, RESTART_DELAY_MS, runCase } from '../harness-2/Deployment.mjs'
import { Engine } from '../harness-2/Engine.mjs'
import { requestStream } from '../harness-2/streams.mjs'

const MODEL = 'daka510000'
const HOST = 'pule25.example'
const KEY = 'jnbanfqasnmgkcuyj8pj'
const RECOVERY_MS = TMTS_BOUNDS.RecoveryS * 1000

/** Routes that the configuration grows by, as in `big_config` of the site. */
const MORE_ROUTES = 350

/** Changes of the configuration; a day "may contain hundreds of changes". */
const CHANGES = 120

/** Orders that are in progress at once; the pages allow eight. */
const ORDERS_AT_ONCE = 8

function route (name, pathPrefix, timeoutMs) {
  return { Name: name, Host: HOST, PathPrefix: pathPrefix, Kind: 'stream', TimeoutMs: timeoutMs, TargetLatencyMs: 800, Priority: 2, Service: 'pool', Attempts: 1, Public: false, Sticky: true, Resumable: false, GapTargetMs: 400 }
}

function configuration (version) {
  return {
    Version: version,
    Routes: [route('r-review', '/review/', 15000), ...Array.from({ length: version === 1 ? 0 : MORE_ROUTES }, (_, at) => route(`r-more${at}`, `/more${at}/cufi/`, 10000 + version))],
    Services: [{ Name: 'pool', HealthPath: '/health', MaxConnections: 360, Protocol: 'h1', Tls: false, Engine: { Slots: 64, KvCapacity: 143929, KvTokenBytes: 35136, LinkMbps: 1100000, Models: [{ Name: MODEL }] } }],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    Tenants: [{ Name: 'bozi300', ApiKeys: [KEY] }]
  }
}

/** Sends requests to the fronts in turn for a while. */
async function requestFor (milliseconds, deployment, record) {
  const outcomes = []
  const end = now() + milliseconds
  for (let at = 0; now() < end; at += 1) {
    outcomes.push(requestStream(deployment.fronts[at % deployment.fronts.length], record, { host: HOST, path: '/review/2f', model: MODEL, key: KEY, events: 2, deadlineMs: 3000 }))
    await sleep(100)
  }
  const ended = await Promise.all(outcomes)
  return { sent: ended.length, served: ended.filter(({ status, isWhole }) => status === 200 && isWhole).length }
}

/** Sends changes of the configuration, several at once, each until it is acknowledged. */
async function change (deployment, record) {
  let version = 1
  const operator = async at => {
    while (version <= CHANGES) {
      version += 1
      const sent = version
      if (await deployment.order('/config/put', configuration(sent), at) !== 200) throw new Error(`version ${sent} was not acknowledged`)
      record.note(`version ${sent} is acknowledged`)
    }
  }
  await Promise.all(Array.from({ length: ORDERS_AT_ONCE }, async (_, at) => { await operator(at) }))
}

await runCase(import.meta.url, () => new Deployment(TMTS_BOUNDS, 2), async (deployment, record, withTrouble) => {
  const engines = ['north', 'central'].map(zone => new Engine(deployment, record, { service: 'pool', zone, model: MODEL }))
  for (const engine of engines) await engine.listen()
  deployment.servers.push(...engines)
  await deployment.start(5, 2, configuration(1))
  await sleep(TMTS_BOUNDS.StableWindowMs)
  await change(deployment, record)
  await sleep(3000)
  const before = await requestFor(2000, deployment, record)
  record.note(`before the final fault ${before.served} of ${before.sent} requests are served`)
  if (before.served * 4 < before.sent) throw new Error('too few requests are served before the final fault')
  if (withTrouble) {
    record.note('all processes are killed')
    await Promise.all(deployment.machines.map(async machine => { await machine.kill() }))
    await sleep(RESTART_DELAY_MS)
    for (const machine of deployment.machines) machine.start()
    record.note('all processes start again')
  }
  await sleep(RECOVERY_MS)
  const after = await requestFor(5000, deployment, record)
  record.note(`${RECOVERY_MS} ms after the machines are back ${after.served} of ${after.sent} requests are served`)
  for (const machine of deployment.controls) {
    const { body } = await call(machine.address, 'GET', '/config/get')
    record.note(`${machine.name} answers a read with version ${JSON.parse(body).Version}`)
  }
  for (const front of deployment.fronts) record.note(`${front.name} is ready: ${await deployment.isReady(front)}`)
  return after.served * 4 < after.sent ? [`of the requests sent later than RecoveryS after the machines were back ${after.served} of ${after.sent} are served; before the final fault ${before.served} of ${before.sent} were`] : []
})
