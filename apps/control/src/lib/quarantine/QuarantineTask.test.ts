import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { StateMachine } from '@eelgrassmux/state/StateMachine'
import type { Command } from '@eelgrassmux/state/commands'
import type { EngineEndpoint } from '@eelgrassmux/schema/configuration'
import { fail, succeed } from '@eelgrassmux/schema/Result'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ConfiguredEnds } from './ConfiguredEnds.js'
import { ListedEnds } from './EndpointEnds.js'
import { QuarantineTask } from './QuarantineTask.js'
import { tellVerdicts } from './tellVerdicts.js'

const DEADLY = 'd'.repeat(32)
const OTHER = 'b'.repeat(32)
const MINUTE_MS = 60_000

const listed = (id: string): ListedEndpoint => ({ id, service: 's', address: '10.0.0.1:80', dataCentre: 'n', slots: 1, isLeaving: false, isBusy: false, models: [] })
const service = { type: 'replicated' as const, name: 's', connectionsPerEndpoint: 1, healthPath: '/' }

/** A leader whose commands are applied at once, and endpoints that answer as a test says. */
class Leader {
  readonly state = new StateMachine()
  readonly asked: string[] = []
  readonly commands: Command[] = []
  readonly listed = new Map<string, ListedEndpoint>()
  isLeader = true
  /** Of endpoints that are listed; undefined where it can't be told. */
  hasEnded: boolean | undefined = true
  loses = 0
  readonly task = new QuarantineTask({
    isLeader: () => this.isLeader,
    verdicts: this.state.verdicts,
    propose: async command => {
      this.commands.push(command)
      if (this.loses > 0) this.loses -= 1
      else this.state.apply({ stampedAt: Date.now(), command })
      await Promise.resolve()
    },
    ends: new ListedEnds({
      endpoints: () => [...this.listed.values()],
      service: () => service,
      probe: {
        answers: async () => await Promise.resolve(true),
        hasEnded: async ({ id }) => {
          this.asked.push(id)
          return await Promise.resolve(this.hasEnded)
        }
      }
    }),
    telemetry: new Telemetry('test')
  })

  lose (endpoint: string, ...fingerprints: string[]): boolean {
    const ends = fingerprints.map(fingerprint => ({ fingerprint, service: 's', endpoint, agoMs: 0, ranMs: 100 }))
    return this.task.observe({ host: 'h', ends, cameThrough: [] }).isTaken
  }

  stateOf (fingerprint: string): string | undefined {
    return this.state.verdicts.find(fingerprint)?.state
  }
}

describe('QuarantineTask', () => {
  let leader: Leader

  beforeEach(() => {
    vi.useFakeTimers()
    leader = new Leader()
  })

  afterEach(() => {
    leader.task.stop()
    vi.useRealTimers()
  })

  async function endThree (names = ['e1', 'e2', 'e3']): Promise<void> {
    for (const [index, endpoint] of names.entries()) {
      leader.lose(endpoint, DEADLY, String(index).padEnd(32, '0'))
      await vi.advanceTimersByTimeAsync(1000)
    }
  }

  it('quarantines what was at three ends, and asks nothing of endpoints that are listed no more', async () => {
    await endThree()
    expect(leader.stateOf(DEADLY)).toBe('quarantined')
    expect(leader.state.verdicts.all).toHaveLength(1)
    expect(leader.asked).toEqual([])
  })

  it('asks each endpoint that is still listed once', async () => {
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, listed(id))
    await endThree()
    expect(leader.stateOf(DEADLY)).toBe('quarantined')
    expect(leader.asked).toEqual(['e1', 'e2', 'e3'])
  })

  it('charges nobody with endpoints that live', async () => {
    leader.hasEnded = false
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, listed(id))
    await endThree()
    expect(leader.state.verdicts.all).toEqual([])
  })

  it('leaves the word to the list where the endpoint may start again under its id, or says nothing', async () => {
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, { ...listed(id), startedAtMs: 7 })
    leader.hasEnded = false
    await endThree(['e1@7', 'e2@7', 'e3@7'])
    await vi.advanceTimersByTimeAsync(8000)
    expect(leader.stateOf(DEADLY)).toBeUndefined()
    expect(leader.asked.filter(id => id === 'e1')).toHaveLength(6)
    leader.listed.clear()
    await vi.advanceTimersByTimeAsync(2000)
    expect(leader.stateOf(DEADLY)).toBe('quarantined')
  })

  it('proposes again what was not appended', async () => {
    leader.loses = 2
    await endThree()
    expect(leader.stateOf(DEADLY)).toBe('quarantined')
  })

  it('clears a request that came through, also one that is held back', async () => {
    await endThree()
    leader.task.observe({ host: 'h', ends: [], cameThrough: [DEADLY, OTHER] })
    await vi.advanceTimersByTimeAsync(100)
    expect(leader.state.verdicts.all).toEqual([])
  })

  it('takes no report where it does not lead, and forgets what it held when it leads no more', async () => {
    leader.lose('e1', DEADLY)
    leader.lose('e2', DEADLY)
    leader.isLeader = false
    await vi.advanceTimersByTimeAsync(200)
    expect(leader.lose('e3', DEADLY)).toBe(false)
    leader.isLeader = true
    leader.lose('e4', DEADLY)
    await vi.advanceTimersByTimeAsync(1000)
    expect(leader.state.verdicts.all).toEqual([])
  })

  it('releases when the time is over, and holds back again after one more end, for longer', async () => {
    await endThree()
    await vi.advanceTimersByTimeAsync(15 * MINUTE_MS)
    expect(leader.stateOf(DEADLY)).toBe('released')
    leader.lose('e4', DEADLY)
    await vi.advanceTimersByTimeAsync(1000)
    expect(leader.state.verdicts.find(DEADLY)).toMatchObject({ state: 'quarantined', quarantines: 2 })
    await vi.advanceTimersByTimeAsync(29 * MINUTE_MS)
    expect(leader.stateOf(DEADLY)).toBe('quarantined')
  })

  it('does nothing at rest', async () => {
    await endThree()
    const { length } = leader.commands
    await vi.advanceTimersByTimeAsync(5 * MINUTE_MS)
    expect(leader.commands).toHaveLength(length)
    // The look at verdicts that are over.
    expect(vi.getTimerCount()).toBe(1)
  })
})

describe('ConfiguredEnds', () => {
  const engine: EngineEndpoint = { kind: 'endpoint', type: 'engine', name: 'engine-0', address: '10.0.0.1:80', dataCentre: 'n', model: 'base', honoursFencing: true }

  async function hasEnded (name: string, answer: Awaited<ReturnType<ConstructorParameters<typeof ConfiguredEnds>[1] & object>>): Promise<boolean | undefined> {
    const knowledge = new ConfiguredEnds(() => ({ documents: [engine] }), async () => await Promise.resolve(answer)).look([name]).get(name)
    return typeof knowledge === 'function' ? await knowledge() : knowledge === 'ended'
  }

  it.each([
    ['counts another start', succeed({ incarnation: 8 }), true],
    ['counts the same', succeed({ incarnation: 7 }), false],
    ['can\'t be reached', fail({ kind: 'connect-failed' as const }), true],
    ['says nothing in time', fail({ kind: 'timeout' as const }), undefined]
  ])('asks the endpoint, which %s', async (_case, answer, expected) => {
    expect(await hasEnded('engine-0#7', answer)).toBe(expected)
  })

  it.each(['engine-9#7', 'engine-0', 'engine-0#'])('takes what the configuration does not name for ended (%s)', async name => {
    expect(await hasEnded(name, succeed({ incarnation: 7 }))).toBe(true)
  })
})

describe('tellVerdicts', () => {
  const state = new StateMachine()
  state.apply({ stampedAt: 1000, command: { kind: 'judge-requests', judgements: [{ fingerprint: DEADLY, service: 's', judgement: 'quarantine', forMs: 5000 }] } })

  it('tells all to who knows nothing, with the time that is left', () => {
    expect(tellVerdicts(state.verdicts, undefined, 2000)).toEqual({ verdicts: [{ fingerprint: DEADLY, service: 's', state: 'quarantined', quarantines: 1, leftMs: 4000 }] })
  })

  it('tells what changed and what is gone to others, and nothing if nothing did', () => {
    expect(tellVerdicts(state.verdicts, [OTHER, DEADLY, OTHER], 9000)).toMatchObject({ verdicts: [{ leftMs: 0 }], verdictsGone: [OTHER] })
    expect(tellVerdicts(state.verdicts, [], 2000)).toEqual({})
  })
})
