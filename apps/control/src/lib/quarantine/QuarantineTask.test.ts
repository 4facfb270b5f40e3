import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { StateMachine } from '@eelgrassmux/state/StateMachine'
import type { Command } from '@eelgrassmux/state/commands'
import type { EngineEndpoint } from '@eelgrassmux/schema/configuration'
import { fail, succeed } from '@eelgrassmux/schema/Result'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ConfiguredCrashDetector } from './ConfiguredCrashDetector.js'
import { ListedCrashDetector } from './CrashDetector.js'
import { QuarantineTask } from './QuarantineTask.js'
import { quarantineMessage } from './quarantineMessage.js'

const POISON = 'd'.repeat(32)
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
  hasCrashed: boolean | undefined = true
  loses = 0
  readonly task = new QuarantineTask({
    isLeader: () => this.isLeader,
    register: this.state.quarantine,
    propose: async command => {
      this.commands.push(command)
      if (this.loses > 0) this.loses -= 1
      else this.state.apply({ stampedAt: Date.now(), command })
      await Promise.resolve()
    },
    detector: new ListedCrashDetector({
      endpoints: () => [...this.listed.values()],
      service: () => service,
      probe: {
        isResponsive: async () => await Promise.resolve(true),
        hasCrashed: async ({ id }) => {
          this.asked.push(id)
          return await Promise.resolve(this.hasCrashed)
        }
      }
    }),
    telemetry: new Telemetry('test')
  })

  lose (endpoint: string, ...fingerprints: string[]): boolean {
    const losses = fingerprints.map(fingerprint => ({ fingerprint, service: 's', endpoint, agoMs: 0, ranMs: 100 }))
    return this.task.observe({ host: 'h', losses, completed: [] }).isTaken
  }

  stateOf (fingerprint: string): string | undefined {
    return this.state.quarantine.find(fingerprint)?.state
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
      leader.lose(endpoint, POISON, String(index).padEnd(32, '0'))
      await vi.advanceTimersByTimeAsync(1000)
    }
  }

  it('quarantines what was at three ends, and asks nothing of endpoints that are listed no more', async () => {
    await endThree()
    expect(leader.stateOf(POISON)).toBe('quarantined')
    expect(leader.state.quarantine.all).toHaveLength(1)
    expect(leader.asked).toEqual([])
  })

  it('asks each endpoint that is still listed once', async () => {
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, listed(id))
    await endThree()
    expect(leader.stateOf(POISON)).toBe('quarantined')
    expect(leader.asked).toEqual(['e1', 'e2', 'e3'])
  })

  it('charges nobody with endpoints that live', async () => {
    leader.hasCrashed = false
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, listed(id))
    await endThree()
    expect(leader.state.quarantine.all).toEqual([])
  })

  it('leaves the word to the list where the endpoint may start again under its id, or says nothing', async () => {
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, { ...listed(id), startedAtMs: 7 })
    leader.hasCrashed = false
    await endThree(['e1@7', 'e2@7', 'e3@7'])
    await vi.advanceTimersByTimeAsync(8000)
    expect(leader.stateOf(POISON)).toBeUndefined()
    expect(leader.asked.filter(id => id === 'e1')).toHaveLength(6)
    leader.listed.clear()
    await vi.advanceTimersByTimeAsync(2000)
    expect(leader.stateOf(POISON)).toBe('quarantined')
  })

  it('proposes again what was not appended', async () => {
    leader.loses = 2
    await endThree()
    expect(leader.stateOf(POISON)).toBe('quarantined')
  })

  it('clears a request that came through, also one that is quarantined', async () => {
    await endThree()
    leader.task.observe({ host: 'h', losses: [], completed: [POISON, OTHER] })
    await vi.advanceTimersByTimeAsync(100)
    expect(leader.state.quarantine.all).toEqual([])
  })

  it('takes no report where it does not lead, and forgets what it held when it leads no more', async () => {
    leader.lose('e1', POISON)
    leader.lose('e2', POISON)
    leader.isLeader = false
    await vi.advanceTimersByTimeAsync(200)
    expect(leader.lose('e3', POISON)).toBe(false)
    leader.isLeader = true
    leader.lose('e4', POISON)
    await vi.advanceTimersByTimeAsync(1000)
    expect(leader.state.quarantine.all).toEqual([])
  })

  it('releases when the time is over, and quarantines again after one more end, for longer', async () => {
    await endThree()
    await vi.advanceTimersByTimeAsync(15 * MINUTE_MS)
    expect(leader.stateOf(POISON)).toBe('released')
    leader.lose('e4', POISON)
    await vi.advanceTimersByTimeAsync(1000)
    expect(leader.state.quarantine.find(POISON)).toMatchObject({ state: 'quarantined', quarantines: 2 })
    await vi.advanceTimersByTimeAsync(29 * MINUTE_MS)
    expect(leader.stateOf(POISON)).toBe('quarantined')
  })

  it('does nothing at rest', async () => {
    await endThree()
    const { length } = leader.commands
    await vi.advanceTimersByTimeAsync(5 * MINUTE_MS)
    expect(leader.commands).toHaveLength(length)
    // The look at entries that are over.
    expect(vi.getTimerCount()).toBe(1)
  })
})

describe('ConfiguredCrashDetector', () => {
  const engine: EngineEndpoint = { kind: 'endpoint', type: 'engine', name: 'engine-0', address: '10.0.0.1:80', dataCentre: 'n', model: 'base', honoursFencing: true }

  async function hasCrashed (name: string, answer: Awaited<ReturnType<ConstructorParameters<typeof ConfiguredCrashDetector>[1] & object>>): Promise<boolean | undefined> {
    const knowledge = new ConfiguredCrashDetector(() => ({ documents: [engine] }), async () => await Promise.resolve(answer)).look([name]).get(name)
    return typeof knowledge === 'function' ? await knowledge() : knowledge === 'ended'
  }

  it.each([
    ['counts another start', succeed({ incarnation: 8 }), true],
    ['counts the same', succeed({ incarnation: 7 }), false],
    ['can\'t be reached', fail({ kind: 'connect-failed' as const }), true],
    ['says nothing in time', fail({ kind: 'timeout' as const }), undefined]
  ])('asks the endpoint, which %s', async (_case, answer, expected) => {
    expect(await hasCrashed('engine-0#7', answer)).toBe(expected)
  })

  it.each(['engine-9#7', 'engine-0', 'engine-0#'])('takes what the configuration does not name for ended (%s)', async name => {
    expect(await hasCrashed(name, succeed({ incarnation: 7 }))).toBe(true)
  })
})

describe('quarantineMessage', () => {
  const state = new StateMachine()
  state.apply({ stampedAt: 1000, command: { kind: 'change-quarantine', decisions: [{ fingerprint: POISON, service: 's', decision: 'quarantine', forMs: 5000 }] } })

  it('tells all to who knows nothing, with the time that is left', () => {
    expect(quarantineMessage(state.quarantine, undefined, 2000)).toEqual({ quarantine: [{ fingerprint: POISON, service: 's', state: 'quarantined', quarantines: 1, leftMs: 4000 }] })
  })

  it('tells what changed and what is gone to others, and nothing if nothing did', () => {
    expect(quarantineMessage(state.quarantine, [OTHER, POISON, OTHER], 9000)).toMatchObject({ quarantine: [{ leftMs: 0 }], quarantineRemoved: [OTHER] })
    expect(quarantineMessage(state.quarantine, [], 2000)).toEqual({})
  })
})
