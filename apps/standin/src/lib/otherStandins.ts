/** Stand-ins for a service without a model, the weight store and the platform's membership list. */
import { setTimeout as sleep } from 'node:timers/promises'
import { H3, readBody } from 'h3'
import { errorAnswer } from './httpApp.js'

/** Settings of the stand-in service. */
export interface ServiceStandinSettings {
  readonly name: string
  readonly workMs: number
  readonly incarnation: number
}

/**
 * Stand-in service that counts executions by request body, so that tests can detect duplicate executions.
 *
 * @param settings - settings of the stand-in
 * @returns the routes
 */
export function serviceRoutes (settings: ServiceStandinSettings): H3 {
  const executions = new Map<string, number>()
  let sequence = 0
  let leaving = false
  const app = new H3()
  app.get('/healthz', () => ({ incarnation: settings.incarnation, state: leaving ? 'leaving' : 'serving' }))
  app.get('/standin/executions', () => Object.fromEntries(executions))
  app.post('/standin/leave', () => {
    leaving = true
    return { ok: true }
  })
  app.all('/**', async event => {
    if (leaving) {
      return new Response('', { status: 503, headers: { 'eelgrassmux-run': 'not-run' } })
    }
    const body = event.req.method === 'GET' ? '' : await event.req.text()
    if (event.req.method !== 'GET') executions.set(body, (executions.get(body) ?? 0) + 1)
    await sleep(settings.workMs)
    sequence += 1
    return { service: settings.name, method: event.req.method, path: event.url.pathname, receipt: `${settings.name}-${sequence}` }
  })
  return app
}

/** Settings of the stand-in weight store. */
export interface WeightStandinSettings {
  readonly loadMs: number
}

/** Maximum number of concurrent loads at which the weight store does not slow down. */
const MAX_LOADS_AT_FULL_SPEED = 2

/**
 * Stand-in weight store on which loads take longer when more than {@link MAX_LOADS_AT_FULL_SPEED} run at once.
 *
 * @param settings - settings of the stand-in
 * @returns the routes
 */
export function weightRoutes (settings: WeightStandinSettings): H3 {
  let concurrentLoads = 0
  let most = 0
  const app = new H3()
  app.get('/weights/:model/:version', async () => {
    concurrentLoads += 1
    most = Math.max(most, concurrentLoads)
    await sleep(settings.loadMs * Math.max(1, concurrentLoads / MAX_LOADS_AT_FULL_SPEED))
    concurrentLoads -= 1
    return new Response('weights')
  })
  app.get('/standin/most', () => ({ most }))
  return app
}

/** Settings of the stand-in membership list. */
export interface MembershipStandinSettings {
  readonly lagMs: number
}

interface Member {
  readonly name: string
  readonly state: 'live' | 'leaving'
  readonly incarnation: number
}

/**
 * Stand-in membership list that publishes changes with a delay and can stop updating.
 *
 * @param settings - settings of the stand-in
 * @returns the routes
 */
export function membershipRoutes (settings: MembershipStandinSettings): H3 {
  const members = new Map<string, Member>()
  let frozen = false
  const app = new H3()
  app.get('/members', () => ({ members: [...members.values()] }))
  app.post('/standin/members', async event => {
    const member = await readBody<Member>(event)
    if (member === undefined) return errorAnswer(400, 'no-member')
    setTimeout(() => { if (!frozen) members.set(member.name, member) }, settings.lagMs)
    return { ok: true }
  })
  app.post('/standin/freeze', () => {
    frozen = true
    return { ok: true }
  })
  return app
}
