import { describe, expect, it } from 'vitest'
import { LoadExchangeScheduler } from './LoadExchangeScheduler.js'

const NOTHING = { asks: false, waits: false }
const WAITS = { asks: false, waits: true }
const ASKS = { asks: true, waits: true }

/** A number in [0, 1) from a seed, alike in each run. */
function numbers (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

describe('ExchangePlan', () => {
  describe('for a request that is to be placed', () => {
    it('asks, lets those of the same moment wait for the same answer, and uses what was heard a moment ago', () => {
      const plan = new LoadExchangeScheduler(() => 8)
      expect(plan.planPlacement(1000)).toEqual(ASKS)
      plan.recordQuery(1000)
      expect(plan.planPlacement(1001)).toEqual(WAITS)
      plan.recordAnswer(1000)
      expect(plan.planPlacement(1003)).toEqual(NOTHING)
      expect(plan.planPlacement(1020)).toEqual(NOTHING)
      expect(plan.planPlacement(1030)).toEqual(ASKS)
    })

    it('does not wait for a host that has left two questions unanswered, until one is answered', () => {
      const plan = new LoadExchangeScheduler(() => 8)
      for (const at of [1000, 1050]) {
        expect(plan.planPlacement(at)).toEqual(ASKS)
        plan.recordQuery(at)
      }
      expect(plan.planPlacement(1100)).toEqual({ asks: true, waits: false })
      plan.recordQuery(1100)
      plan.recordAnswer(1100)
      expect(plan.planPlacement(1200)).toEqual(ASKS)
    })
  })

  describe('of 195 hosts with five requests a second each', () => {
    const hosts = 195
    const seconds = 20
    const random = numbers(7)
    const plans = Array.from({ length: hosts }, () => new LoadExchangeScheduler(() => hosts))
    const arrivals = Array.from({ length: hosts * 5 * seconds }, () => ({ at: random() * seconds * 1000, host: Math.floor(random() * hosts) }))
      .sort((one, other) => one.at - other.at)
    const ages: number[] = []
    let questions = 0
    const views = new Map<number, number>()
    for (const { at, host } of arrivals) {
      const plan = plans[host]
      const step = plan?.planPlacement(at)
      if (step?.asks === true) {
        questions += 1
        plan?.recordQuery(at)
        plan?.recordAnswer(at)
        views.set(host, at)
      }
      ages.push(at - (views.get(host) ?? Number.NEGATIVE_INFINITY))
    }

    it('places nearly all on a view of the last 25 milliseconds', () => {
      const fresh = ages.filter(age => age <= 25).length / ages.length
      expect(fresh).toBeGreaterThan(0.95)
    })

    it('asks no more than its share', () => {
      expect(questions / seconds).toBeLessThanOrEqual(2000)
    })
  })

  describe('of 81 hosts with ten requests a second each', () => {
    it('asks for most requests, and tells at most half as much again', () => {
      const random = numbers(11)
      const plan = new LoadExchangeScheduler(() => 81)
      let requests = 0
      let questions = 0
      let statements = 0
      for (let at = 0; at < 60_000; at += 1) {
        if ((plan.nextReportAt ?? Number.POSITIVE_INFINITY) <= at) {
          statements += 1
          plan.recordReport(true, at)
        }
        if (random() >= 0.01) continue
        requests += 1
        if (plan.planPlacement(at).asks) {
          questions += 1
          plan.recordQuery(at)
          plan.recordAnswer(at)
        }
        if (plan.recordSend(at)) {
          statements += 1
          plan.recordReport(true, at)
        }
      }
      expect(questions).toBeGreaterThan(requests * 2 / 3)
      expect(statements).toBeLessThan(questions / 2)
    })
  })

  describe('budget of one host', () => {
    /** Time that a request's work is told of, in milliseconds: until its end, and a moment after. */
    const LIFE_MS = 700

    it.each([[8, 30], [62, 9], [81, 10], [195, 5], [340, 24]])('of %i hosts with %i requests a second: at most a question and two statements a request', (hosts, perSecond) => {
      const random = numbers(hosts)
      const plan = new LoadExchangeScheduler(() => hosts)
      let datagrams = 0
      let requests = 0
      let workUntil = 0
      for (let at = 0; at < 60_000; at += 1) {
        if ((plan.nextReportAt ?? Number.POSITIVE_INFINITY) <= at) {
          datagrams += 1
          plan.recordReport(at < workUntil, at)
        }
        if (random() >= perSecond / 1000) continue
        requests += 1
        workUntil = at + LIFE_MS
        if (plan.planPlacement(at).asks) {
          datagrams += 1
          plan.recordQuery(at)
          plan.recordAnswer(at)
        }
        if (plan.recordSend(at)) {
          datagrams += 1
          plan.recordReport(true, at)
        }
      }
      expect(datagrams / requests).toBeLessThan(3)
    })
  })

  describe('of 195 hosts with two requests a second each', () => {
    it('asks for every request, and tells every send at once', () => {
      const plan = new LoadExchangeScheduler(() => 195)
      for (let at = 0; at < 20_000; at += 500) {
        expect(plan.planPlacement(at)).toEqual(ASKS)
        plan.recordQuery(at)
        plan.recordAnswer(at)
        expect(plan.recordSend(at)).toBe(true)
      }
    })
  })

  it('keeps all hosts together to what one can answer, when many requests come at once', () => {
    const hosts = 340
    const plan = new LoadExchangeScheduler(() => hosts)
    let questions = 0
    for (let at = 0; at < 10_000; at += 5) {
      if (!plan.planPlacement(at).asks) continue
      questions += 1
      plan.recordQuery(at)
      plan.recordAnswer(at)
    }
    expect(questions * hosts / 10).toBeLessThanOrEqual(2000 + 5 * hosts / 10)
  })

  describe('tells', () => {
    it('of what makes room a moment later, and of work again and again until there is none', () => {
      const plan = new LoadExchangeScheduler(() => 8)
      expect(plan.nextReportAt).toBeUndefined()
      plan.recordReport(true, 112)
      expect(plan.nextReportAt).toBe(462)
      plan.recordChange(150)
      plan.recordChange(180)
      expect(plan.nextReportAt).toBe(400)
      plan.recordReport(false, 400)
      expect(plan.nextReportAt).toBeUndefined()
    })

    it('nothing twice: a question says it as well', () => {
      const plan = new LoadExchangeScheduler(() => 8)
      plan.recordChange(100)
      plan.recordQuery(110)
      expect(plan.nextReportAt).toBeUndefined()
    })
  })
})
