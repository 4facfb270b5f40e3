import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { RolloutPlan, type EngineStatus, type LoadOrder } from './RolloutPlan.js'

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

/** Runs the plan in steps of 50 ms against simulated engines that take time to load. The list always shows the old version. */
class RolloutSimulation {
  readonly plan = new RolloutPlan()
  readonly engines = new Map<string, FakeEngine>()
  readonly orders: Array<LoadOrder & { at: number }> = []
  maxConcurrentLoads = 0
  now = 0

  constructor (count: number, private readonly loadMs: number, private readonly unanswered: (order: number) => boolean = () => false) {
    for (let number = 0; number < count; number += 1) this.engines.set(`e${number}`, { version: 1, orders: 0, busyUntil: -1 })
  }

  get list (): ListedEndpoint[] { return [...this.engines.keys()].map(id => listed(id)) }
  get isDone (): boolean { return [...this.engines.values()].every(engine => engine.version === 2) }

  play (forMs: number, mayOrder = true): void {
    for (const end = this.now + forMs; this.now < end && !this.isDone; this.now += 50) this.#runTurn(mayOrder)
  }

  #runTurn (mayOrder: boolean): void {
    for (const engine of this.engines.values()) {
      if (engine.busyUntil >= 0 && this.now >= engine.busyUntil) {
        engine.version = 2
        engine.busyUntil = -1
      }
    }
    const { polls, orders } = this.plan.next(NAMED, this.list, mayOrder, this.now)
    for (const { id } of polls) {
      const engine = this.engines.get(id)
      if (engine === undefined) continue
      this.plan.observeStatus(id, { startedAtMs: undefined, versions: new Map([[MODEL, engine.version]]), isBusy: engine.busyUntil >= 0, acceptedOrders: engine.orders }, this.now)
    }
    for (const order of orders) this.#carryOut(order)
    this.maxConcurrentLoads = Math.max(this.maxConcurrentLoads, [...this.engines.values()].filter(engine => engine.busyUntil >= 0).length)
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
    this.plan.observeOrder(order, isLost ? 'unanswered' : isExpected ? 'accepted' : 'conflict', this.now)
  }
}

describe('RolloutPlan', () => {
  it('brings every engine to the desired weights with one order each', () => {
    const rollout = new RolloutSimulation(8, 270)
    rollout.play(6000)
    expect(rollout.isDone).toBe(true)
    expect(rollout.orders).toHaveLength(8)
  })

  it.each([[8, 2], [13, 3], [63, 18], [98, 28], [1, 1]])('of %i engines, loads at most %i at once', (count, atOnce) => {
    const rollout = new RolloutSimulation(count, 1300)
    rollout.play(20_000)
    expect(rollout.isDone).toBe(true)
    expect(rollout.maxConcurrentLoads).toBe(atOnce)
  })

  // Guards against engines at the end of the list that keep old weights for as long as new ones are named before all have the last.
  it('orders the engines that are furthest behind first', () => {
    const plan = new RolloutPlan()
    const fleet = [listed('e0', 4), listed('e1', 3), listed('e2', 1), listed('e3', 4), listed('e4', 1), listed('e5', 2), listed('e6', 4)]
    const polled = (): string[] => plan.next([{ model: MODEL, version: 5 }], fleet, true, 0).polls.map(({ id }) => id)
    expect(new Set(polled())).toEqual(new Set(['e2', 'e4']))
  })

  it('announces an engine as busy before it is ordered, so that hosts receive the announcement first', () => {
    const rollout = new RolloutSimulation(8, 270)
    rollout.play(50)
    expect(rollout.orders).toHaveLength(0)
    expect(rollout.plan.isBusy('e0', rollout.now)).toBe(true)
  })

  it('repeats an order that was neither answered nor executed', () => {
    const rollout = new RolloutSimulation(8, 270, order => order % 2 === 1)
    rollout.play(20_000)
    expect(rollout.isDone).toBe(true)
  })

  it('makes each order conditional on the number of orders that the engine has accepted, so that a late order has no effect', () => {
    const rollout = new RolloutSimulation(2, 270)
    const engine = rollout.engines.get('e0')
    if (engine !== undefined) engine.orders = 7
    rollout.play(6000)
    expect(rollout.orders.find(order => order.endpoint.id === 'e0')?.expectedOrders).toBe(7)
  })

  it('plans no order while the host may not send orders', () => {
    const rollout = new RolloutSimulation(8, 270)
    rollout.play(3000, false)
    expect(rollout.orders).toHaveLength(0)
  })

  it('does not order an engine again while the list still shows the old weights', () => {
    const rollout = new RolloutSimulation(2, 100)
    rollout.play(6000)
    const sent = rollout.orders.length
    expect(rollout.plan.next(NAMED, rollout.list, true, rollout.now + 5000).orders).toHaveLength(0)
    expect(rollout.orders).toHaveLength(sent)
  })

  describe('when engines do not answer', () => {
    /** Runs steps of 50 ms in which the first two of eight engines may be down and the others load in 300 ms. */
    function play (turns: number, isDown: (now: number) => boolean): Set<string> {
      const plan = new RolloutPlan()
      const fleet = Array.from({ length: 8 }, (_, number) => listed(`e${number}`))
      const loaded = new Map<string, number>()
      for (let now = 0; now < turns * 50; now += 50) {
        const { polls, orders } = plan.next(NAMED, fleet, true, now)
        for (const { id } of polls) {
          const at = loaded.get(id)
          const version = at !== undefined && now >= at ? 2 : 1
          if (isDown(now) && (id === 'e0' || id === 'e1')) plan.observeNoAnswer(id, undefined)
          else plan.observeStatus(id, { startedAtMs: undefined, versions: new Map([[MODEL, version]]), isBusy: at !== undefined && version === 1, acceptedOrders: at === undefined ? 0 : 1 }, now)
        }
        for (const order of orders) {
          loaded.set(order.endpoint.id, now + 300)
          plan.observeOrder(order, 'accepted', now)
        }
      }
      return new Set(loaded.keys())
    }

    it('orders the other engines, although the unanswering ones come first', () => {
      expect([...play(60, () => true)].sort()).toEqual(['e2', 'e3', 'e4', 'e5', 'e6', 'e7'])
    })

    it('orders the engines once they answer', () => {
      expect(play(100, now => now < 2000).size).toBe(8)
    })
  })

  describe('when an engine has restarted under its id', () => {
    const status = (startedAtMs: number, version: number, acceptedOrders: number, isBusy = false): EngineStatus =>
      ({ startedAtMs, versions: new Map([[MODEL, version]]), isBusy, acceptedOrders })
    const at = (startedAtMs: number, version: number): ListedEndpoint => ({ ...listed('e', version), startedAtMs })

    /** Returns a plan that has ordered version 2 from an engine that started at 1000 and had accepted 5 orders. */
    function ordered (): { plan: RolloutPlan, order: LoadOrder } {
      const plan = new RolloutPlan()
      plan.next(NAMED, [at(1000, 1)], true, 0)
      plan.observeStatus('e', status(1000, 1, 5), 10)
      const [order] = plan.next(NAMED, [at(1000, 1)], true, 100).orders
      if (order === undefined) throw new Error('the plan returned no order')
      return { plan, order }
    }

    it('polls its status and uses the order count of the new start', () => {
      const { plan, order } = ordered()
      expect(order.expectedOrders).toBe(5)
      plan.observeOrder(order, 'accepted', 110)
      const steps = plan.next(NAMED, [at(2000, 1)], true, 200)
      expect(steps.orders).toEqual([])
      expect(steps.polls.map(endpoint => endpoint.id)).toEqual(['e'])
      plan.observeStatus('e', status(2000, 1, 0), 210)
      expect(plan.next(NAMED, [at(2000, 1)], true, 300).orders).toMatchObject([{ version: 2, expectedOrders: 0, startedAtMs: 2000 }])
    })

    it('does not consider the engine busy or pending because of the earlier start', () => {
      const { plan, order } = ordered()
      plan.observeOrder(order, 'accepted', 110)
      plan.observeStatus('e', status(1000, 1, 6, true), 150)
      expect(plan.isBusy('e', 160)).toBe(true)
      plan.next(NAMED, [at(2000, 2)], true, 200)
      expect(plan.isBusy('e', 200)).toBe(false)
    })

    it('uses the version of the new start even if it is lower', () => {
      const { plan, order } = ordered()
      plan.observeOrder(order, 'accepted', 110)
      plan.observeStatus('e', status(1000, 2, 6), 150)
      expect(plan.versionOf(at(1000, 1), MODEL)).toBe(2)
      expect(plan.versionOf(at(2000, 1), MODEL)).toBe(1)
      plan.observeStatus('e', status(2000, 1, 0), 160)
      expect(plan.versionOf(at(1000, 2), MODEL)).toBe(1)
    })

    it('ignores a late status or order answer of the earlier start', () => {
      const { plan, order } = ordered()
      plan.observeStatus('e', status(2000, 1, 0), 120)
      plan.observeStatus('e', status(1000, 2, 6, true), 130)
      plan.observeOrder(order, 'accepted', 140)
      expect(plan.versionOf(at(2000, 1), MODEL)).toBe(1)
      expect(plan.isBusy('e', 150)).toBe(false)
    })

    it('polls the engine while an order to the earlier start may still be executed, and orders again if that happens', () => {
      const { plan, order } = ordered()
      plan.observeOrder(order, 'unanswered', 200)
      const newer = [{ model: MODEL, version: 3 }]
      // The engine restarted with the newest weights and has accepted no order since.
      plan.next(newer, [at(2000, 3)], true, 300)
      plan.observeStatus('e', status(2000, 3, 0), 310)
      expect(plan.isWatching(5000)).toBe(true)
      expect(plan.next(newer, [at(2000, 3)], true, 5000).polls.map(endpoint => endpoint.id)).toEqual(['e'])
      // The late order is accepted, because its expected count matches.
      plan.observeStatus('e', status(2000, 2, 1), 5010)
      expect(plan.versionOf(at(2000, 3), MODEL)).toBe(2)
      plan.next(newer, [at(2000, 3)], true, 5100)
      expect(plan.next(newer, [at(2000, 3)], true, 5200).orders).toMatchObject([{ version: 3, expectedOrders: 1 }])
      expect(plan.isWatching(20_000)).toBe(false)
    })
  })
})
