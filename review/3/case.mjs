/**
 * The open connections between entry hosts and control hosts go silent without a reset, while new ones work. 3.1 s later,
 * when the core is stable and all machines are in touch again, the operator moves a route to another service. Entry hosts
 * have to obey 2 s after the acknowledgement.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, Client, Deployment, HELD, NOT_RUN, hasTrouble, newId, play, sleep } from '../lib/deployment.mjs'
import { PlainReplica } from '../lib/replicas.mjs'
import { Proxy } from '../lib/proxy.mjs'

const folder = dirname(fileURLToPath(import.meta.url))
/** As on the sheets: seven entry hosts, five control hosts of which two may be lost. */
const ENTRIES = 7
const CONTROLS = 5
const LOSSES = 2

/** Time from the silence to the change, in milliseconds: a little more than StableWindowMs. */
const CHANGE_AFTER_MS = 3100

/** The same is done several times, at other moments between the pings of a connection. Each time is judged by itself. */
const ROUNDS = 4
const CALM_MS = [8000, 6700, 7400, 6100]

/** Added to the bound, in milliseconds, so that nothing hangs on how exactly the times are read. */
const MARGIN_MS = 100

function site (version, service) {
  return {
    Version: version,
    Routes: [{ Name: 'r-1', Host: 'pule25.example', PathPrefix: '/puxa400/', Kind: 'safe', TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 1, Service: service, Attempts: 2, Public: false, Sticky: false, Resumable: false }],
    Services: ['alpha', 'beta'].map(name => ({ Name: name, HealthPath: '/health', MaxConnections: 100, Protocol: 'h1', Tls: false })),
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    Tenants: [{ Name: 'bozi300', ApiKeys: ['jnbanfqasnmgkcuyj8pj'], Priority: 1 }]
  }
}

await play(folder, async (record, made) => {
  const proxies = []
  // Control hosts are reached through proxies, for which they have to state another address than their own.
  const settingsOf = (role, index) => role === 'control' ? { EELGRASSMUX_ADVERTISE: `${deployment.proxyIp(index)}:${deployment.ports.peer}` } : {}
  const deployment = new Deployment(record, { controls: CONTROLS, losses: LOSSES, entries: ENTRIES, settingsOf })
  made(deployment)
  await deployment.start()
  for (let index = 0; index < CONTROLS; index += 1) {
    const proxy = new Proxy(deployment.proxyIp(index), deployment.controlIp(index), deployment.ports.peer)
    await proxy.listen()
    proxies.push(proxy)
    deployment.onClose(() => { proxy.close() })
  }
  const replicas = ['alpha', 'alpha', 'beta', 'beta'].map(service => new PlainReplica(deployment, { service }))
  for (const replica of replicas) await replica.listen()
  await deployment.putConfig(site(1, 'alpha'))
  await deployment.whenReady()

  const requests = []
  const traffic = { isOn: true }
  const loops = deployment.entries.map(async (entry, index) => {
    const client = new Client(entry.fields.Ip, deployment.ports.front, entry.name)
    while (traffic.isOn) {
      const id = newId()
      const sentAt = performance.now()
      const answer = await client.send({ path: '/puxa400/2f', headers: { host: 'pule25.example', 'x-eelgrassmux-request-id': id, 'x-eelgrassmux-deadline-ms': '1000', 'x-eelgrassmux-credential': 'jnbanfqasnmgkcuyj8pj' }, timeoutMs: 2000 })
      requests.push({ id, entry: index, sentAt, answer })
      await sleep(25)
    }
    client.close()
  })
  const changes = []
  for (let round = 0; round < ROUNDS; round += 1) {
    await sleep(CALM_MS[round])
    if (hasTrouble) {
      const counts = deployment.entries.map(({ pid }) => proxies.reduce((sum, proxy) => sum + proxy.silenceConnectionsOf(pid), 0))
      record.write(`connections to control hosts that go silent, by entry host: ${counts.join(', ')}`)
    }
    const silentAt = performance.now()
    await sleep(CHANGE_AFTER_MS)
    const service = round % 2 === 0 ? 'beta' : 'alpha'
    const { acknowledgedAt } = await deployment.putConfig(site(2 + round, service))
    changes.push({ silentAt, acknowledgedAt, old: service === 'beta' ? 'alpha' : 'beta' })
  }
  await sleep(6500)
  traffic.isOn = false
  await Promise.all(loops)

  const ranAt = new Map(replicas.flatMap(replica => replica.runs.map(run => [run.id, replica])))
  let broken = 0
  for (const [round, { silentAt, acknowledgedAt, old }] of changes.entries()) {
    const until = changes[round + 1]?.silentAt ?? Number.POSITIVE_INFINITY
    const dueAt = acknowledgedAt + deployment.bounds.ConfigApplyMs + MARGIN_MS
    record.write(`configuration ${2 + round} is acknowledged ${Math.round(acknowledgedAt - silentAt)} ms after the connections went silent and has to be obeyed ${deployment.bounds.ConfigApplyMs} ms later`)
    for (let index = 0; index < ENTRIES; index += 1) {
      const own = requests.filter(({ entry, sentAt }) => entry === index && sentAt > acknowledgedAt && sentAt < until)
      const byOld = own.filter(({ id }) => ranAt.get(id)?.service === old)
      const late = byOld.filter(({ sentAt }) => sentAt > dueAt)
      const last = byOld.at(-1)
      broken += late.length
      record.write(`  entry-${index}: ${own.length} requests; the last that the old service ran was sent ${last === undefined ? '-' : Math.round(last.sentAt - acknowledgedAt)} ms after the acknowledgement; ${late.length} were sent too late for that`)
      for (const { id, sentAt, answer } of late.slice(-2)) record.write(`    request ${id}, sent ${Math.round(sentAt - acknowledgedAt)} ms after the acknowledgement and ${Math.round(sentAt - silentAt)} ms after the silence: run by ${ranAt.get(id).service} (${ranAt.get(id).id}), answered ${answer.status}`)
    }
  }
  const served = requests.filter(({ answer }) => answer.status === 200).length
  if (served < requests.length / 2) {
    record.write(`only ${served} of ${requests.length} requests were served`)
    return NOT_RUN
  }
  return broken > 0 ? BROKEN : HELD
})
