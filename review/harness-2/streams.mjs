/** Clients of streams. */
import { request } from 'node:http'
import { now } from './Deployment.mjs'

const PREFIX = 'x-eelgrassmux-'
let sent = 0

/** Sends one request for a stream on a connection of its own; resolves with how it ended. */
export async function requestStream (front, record, { host, path, model, events, deadlineMs, key }, onSend = () => {}) {
  sent += 1
  const id = `${(0x10000000 + sent).toString(16)}${Math.floor(Math.random() * 0x7fffffff).toString(16).padStart(8, '0')}`
  const outcome = { id, front: front.name, sentAt: now(), status: 0, isWhole: false }
  const [ip, port] = front.address.split(':')
  onSend(id)
  record.note(`client sends ${id} to ${front.name}`)
  await new Promise(resolve => {
    const outgoing = request({ host: ip, port: Number(port), method: 'POST', path, agent: false, headers: { host, 'content-length': 2, [PREFIX + 'request-id']: id, [PREFIX + 'model']: model, [PREFIX + 'token-count']: `100,${events}`, [PREFIX + 'prefix-hash']: `aa${(sent % 7).toString(16)}:60,bb${sent.toString(16)}:40`, [PREFIX + 'deadline-ms']: deadlineMs, ...(key === undefined ? {} : { [PREFIX + 'credential']: key }) } }, response => {
      outcome.status = response.statusCode
      response.on('data', () => {})
      response.on('end', () => {
        outcome.isWhole = true
        resolve()
      })
      response.on('error', resolve)
      response.on('close', resolve)
    })
    const timer = setTimeout(() => { outgoing.destroy() }, deadlineMs)
    outgoing.on('close', () => { clearTimeout(timer) })
    outgoing.on('error', resolve)
    outgoing.end('{}')
  })
  record.note(`client ends ${id} at ${front.name}: ${outcome.status}${outcome.isWhole ? ', whole' : ''}`)
  return outcome
}
