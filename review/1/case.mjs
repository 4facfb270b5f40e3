/**
 * The platform's list shows for some seconds an entry of another writer, whose address can't be read: one of its numbers
 * is no part of an IP address. It names no replica to use, and the others hold.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, Client, Deployment, HELD, NOT_RUN, hasTrouble, newId, play, sleep } from '../lib/deployment.mjs'
import { PlainReplica } from '../lib/replicas.mjs'

const folder = dirname(fileURLToPath(import.meta.url))

/** Number of times that the rule allows, in the whole record. */
const ALLOWED = 3

/** Clients of each entry host. */
const CLIENTS = 16

/** The platform starts a process that has exited again after this time, in milliseconds. */
const RESTART_MS = 500

const SITE = {
  Version: 1,
  Routes: [{ Name: 'r-1', Host: 'pule25.example', PathPrefix: '/puxa400/', Kind: 'unsafe', TimeoutMs: 1500, TargetLatencyMs: 100, Priority: 1, Service: 'alpha', Attempts: 1, Public: false, Sticky: false, Resumable: false }],
  Services: [{ Name: 'alpha', HealthPath: '/health', MaxConnections: 100, Protocol: 'h1', Tls: false }],
  Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
  Tenants: [{ Name: 'bozi300', ApiKeys: ['jnbanfqasnmgkcuyj8pj'], Priority: 1 }]
}

await play(folder, async (record, made) => {
  const deployment = new Deployment(record, { controls: 3, entries: 3 })
  made(deployment)
  await deployment.start()
  const replicas = [1, 2, 3].map(() => new PlainReplica(deployment, { service: 'alpha', slots: 40, workMs: 120 }))
  for (const replica of replicas) await replica.listen()
  await deployment.putConfig(SITE)
  await deployment.whenReady()

  const requests = []
  const traffic = { isOn: true }
  const loops = deployment.entries.flatMap((entry, index) => Array.from({ length: CLIENTS }, async (_, at) => {
    await sleep(9 * at)
    const client = new Client(entry.fields.Ip, deployment.ports.front, entry.name)
    for (let sent = 0; traffic.isOn; sent += 1) {
      const id = newId()
      const answer = await client.send({ method: 'POST', path: '/puxa400/2f', headers: { host: 'pule25.example', 'x-eelgrassmux-request-id': id, 'x-eelgrassmux-deadline-ms': '1500', 'x-eelgrassmux-credential': 'jnbanfqasnmgkcuyj8pj', 'content-length': '2' }, body: 'ab', timeoutMs: 3000 })
      requests.push({ id, entry: index, isKept: sent > 0, answer, answeredAt: performance.now() })
      await sleep(20)
    }
    client.close()
  }))
  const endedAt = deployment.entries.map(() => [])
  const restarts = deployment.entries.map(async (entry, index) => {
    while (traffic.isOn) {
      await sleep(50)
      if (entry.isRunning || !traffic.isOn) continue
      endedAt[index].push(performance.now())
      record.write(`${entry.name} has ended by itself with code ${entry.exitCode}`)
      await sleep(RESTART_MS)
      entry.start()
    }
  })
  await sleep(6000)
  const other = { isShown: true, listed: { ...replicas[0].listed, Id: 'i-7f3a91c2', Address: '127.0.0.300:8080' } }
  if (hasTrouble) {
    deployment.instances.push(other)
    record.write(`the list shows ${JSON.stringify(other.listed)}`)
  }
  await sleep(5000)
  other.isShown = false
  if (hasTrouble) record.write('the list does not show it any more')
  await sleep(3000)
  traffic.isOn = false
  await Promise.all([...loops, ...restarts])

  const running = new Set(replicas.flatMap(({ runs }) => runs.map(({ id }) => id)))
  // Only what the first end of each process cut counts: after it the process was started again, and is not in touch for a while.
  const cut = requests.filter(({ id, entry, isKept, answer, answeredAt }) => isKept && answer.error !== undefined && running.has(id) && answeredAt < (endedAt[entry][0] ?? 0) + RESTART_MS)
  record.write(`${requests.length} requests, ${requests.filter(({ answer }) => answer.status === 200).length} answered with 200`)
  for (const [index, entry] of deployment.entries.entries()) {
    const own = cut.filter(request => request.entry === index)
    record.write(`${entry.name}: it has ended by itself ${endedAt[index].length} times; at the first end, ${own.length} requests from kept connections were passed on to a sound replica, and their connections closed without an answer`)
    for (const { id, answer } of own.slice(0, 3)) record.write(`  request ${id}: ${answer.error}`)
  }
  if (requests.filter(({ answer }) => answer.status === 200).length < 100) return NOT_RUN
  return cut.length > ALLOWED ? BROKEN : HELD
})
