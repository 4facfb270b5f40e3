import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { RolloutPlan, type LoadOrder } from './RolloutPlan.js'

const MODEL = 'summary'
const NAMED = [{ model: MODEL, version: 2 }]

interface FakeEngine {
  version: number
  orders: number
  busyUntil: number
}

function listed (id: string, version = 1): ListedEndpoint {
  return { id, service: 'pool', address: id, dataCentre: 'n', slots: 1, isLeaving: false, isBusy: false, models: [{ model: MODEL, version }] }
}

/** Plays turns of 50 ms against engines that load for a while; the list never catches up. */
class Rollout {
  readonly plan = new RolloutPlan()
  readonly engines = new Map<string, FakeEngine>()
  readonly orders: Array<LoadOrder & { at: number }> = []
  mostAtOnce = 0
  now = 0

  constructor (count: number, private readonly loadMs: number, private readonly unanswered: (order: number) => boolean = () => false) {
    for (let number = 0; number < count; number += 1) this.engines.set(`e${number}`, { version: 1, orders: 0, busyUntil: -1 })
  }

  get list (): ListedEndpoint[] { return [...this.engines.keys()].map(id => listed(id)) }
  get isDone (): boolean { return [...this.engines.values()].every(engine => engine.version === 2) }

  play (forMs: number, mayOrder = true): void {
    for (const end = this.now + forMs; this.now < end && !this.isDone; this.now += 50) this.#turn(mayOrder)
  }

  #turn (mayOrder: boolean): void {
    for (const engine of this.engines.values()) {
      if (engine.busyUntil >= 0 && this.now >= engine.busyUntil) {
        engine.version = 2
        engine.busyUntil = -1
      }
    }
    const { looks, orders } = this.plan.next(NAMED, this.list, mayOrder, this.now)
    for (const { id } of looks) {
      const engine = this.engines.get(id)
      if (engine === undefined) continue
      this.plan.observeStatus(id, { versions: new Map([[MODEL, engine.version]]), isBusy: engine.busyUntil >= 0, acceptedOrders: engine.orders }, this.now)
    }
    for (const order of orders) this.#carryOut(order)
    this.mostAtOnce = Math.max(this.mostAtOnce, [...this.engines.values()].filter(engine => engine.busyUntil >= 0).length)
  }

  #carryOut (order: LoadOrder): void {
    this.orders.push({ ...order, at: this.now })
    const engine = this.engines.get(order.endpoint.id)
    if (engine === undefined) return
    const isLost = this.unanswered(this.orders.length)
    const isExpected = engine.orders === order.expectedOrders && engine.busyUntil < 0
    if (isExpected && !isLost) {
      engine.orders += 1
      engine.busyUntil = this.now + this.loadMs
    }
    this.plan.observeOrder(order.endpoint.id, isLost ? 'unanswered' : isExpected ? 'accepted' : 'conflict', this.now)
  }
}

describe('RolloutPlan', () => {
  it('brings every engine to the named weights with one order each', () => {
    const rollout = new Rollout(8, 270)
    rollout.play(6000)
    expect(rollout.isDone).toBe(true)
    expect(rollout.orders).toHaveLength(8)
  })

  it.each([[8, 2], [13, 3], [63, 18], [98, 28], [1, 1]])('loads on at most so many of %i engines at once: %i', (count, atOnce) => {
    const rollout = new Rollout(count, 1300)
    rollout.play(20_000)
    expect(rollout.isDone).toBe(true)
    expect(rollout.mostAtOnce).toBe(atOnce)
  })

  it('announces an engine before it is ordered, so that hosts hear of it first', () => {
    const rollout = new Rollout(8, 270)
    rollout.play(50)
    expect(rollout.orders).toHaveLength(0)
    expect(rollout.plan.isBusy('e0', rollout.now)).toBe(true)
  })

  it('orders again when an order got no answer and was not carried out', () => {
    const rollout = new Rollout(8, 270, order => order % 2 === 1)
    rollout.play(20_000)
    expect(rollout.isDone).toBe(true)
  })

  it('binds each order to the orders that the engine has accepted, so that a late one has no effect', () => {
    const rollout = new Rollout(2, 270)
    const engine = rollout.engines.get('e0')
    if (engine !== undefined) engine.orders = 7
    rollout.play(6000)
    expect(rollout.orders.find(order => order.endpoint.id === 'e0')?.expectedOrders).toBe(7)
  })

  it('gives no order while it may not', () => {
    const rollout = new Rollout(8, 270)
    rollout.play(3000, false)
    expect(rollout.orders).toHaveLength(0)
  })

  it('does not go back when the list still shows the old weights', () => {
    const rollout = new Rollout(2, 100)
    rollout.play(6000)
    const sent = rollout.orders.length
    expect(rollout.plan.next(NAMED, rollout.list, true, rollout.now + 5000).orders).toHaveLength(0)
    expect(rollout.orders).toHaveLength(sent)
  })
})
