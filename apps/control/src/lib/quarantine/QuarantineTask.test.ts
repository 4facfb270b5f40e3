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

/** Leader that applies commands immediately, with endpoints that answer as the test defines. */
class FakeLeader {
  readonly state = new StateMachine()
  readonly probed: string[] = []
  readonly commands: Command[] = []
  readonly listed = new Map<string, ListedEndpoint>()
  isLeader = true
  /** Probe result of listed endpoints; undefined if the state cannot be determined. */
  hasCrashed: boolean | undefined = true
  failedProposals = 0
  readonly task = new QuarantineTask({
    isLeader: () => this.isLeader,
    register: this.state.quarantine,
    propose: async command => {
      this.commands.push(command)
      if (this.failedProposals > 0) this.failedProposals -= 1
      else this.state.apply({ stampedAt: Date.now(), command })
      await Promise.resolve()
    },
    detector: new ListedCrashDetector({
      endpoints: () => [...this.listed.values()],
      service: () => service,
      probe: {
        isResponsive: async () => await Promise.resolve(true),
        hasCrashed: async ({ id }) => {
          this.probed.push(id)
          return await Promise.resolve(this.hasCrashed)
        }
      }
    }),
    telemetry: new Telemetry('test')
  })

  reportLoss (endpoint: string, ...fingerprints: string[]): boolean {
    const losses = fingerprints.map(fingerprint => ({ fingerprint, service: 's', endpoint, agoMs: 0, ranMs: 100 }))
    return this.task.observe({ host: 'h', losses, completed: [] }).isTaken
  }

  stateOf (fingerprint: string): string | undefined {
    return this.state.quarantine.find(fingerprint)?.state
  }
}

describe('QuarantineTask', () => {
  let leader: FakeLeader

  beforeEach(() => {
    vi.useFakeTimers()
    leader = new FakeLeader()
  })

  afterEach(() => {
    leader.task.stop()
    vi.useRealTimers()
  })

  async function crashThree (names = ['e1', 'e2', 'e3']): Promise<void> {
    for (const [index, endpoint] of names.entries()) {
      leader.reportLoss(endpoint, POISON, String(index).padEnd(32, '0'))
      await vi.advanceTimersByTimeAsync(1000)
    }
  }

  it('quarantines a request that was present at three crashes, and does not probe endpoints that are no longer listed', async () => {
    await crashThree()
    expect(leader.stateOf(POISON)).toBe('quarantined')
    expect(leader.state.quarantine.all).toHaveLength(1)
    expect(leader.probed).toEqual([])
  })

  // Guards against a decision that is put off for as long as many hosts go on reporting losses.
  it('quarantines a request while reports arrive all the time', async () => {
    for (const endpoint of ['e1', 'e2', 'e3']) {
      for (let report = 0; report < 20; report++) {
        leader.reportLoss(endpoint, POISON)
        await vi.advanceTimersByTimeAsync(50)
      }
    }
    expect(leader.stateOf(POISON)).toBe('quarantined')
  })

  it('probes each endpoint that is still listed once', async () => {
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, listed(id))
    await crashThree()
    expect(leader.stateOf(POISON)).toBe('quarantined')
    expect(leader.probed).toEqual(['e1', 'e2', 'e3'])
  })

  it('does not count lost connections of endpoints that are still running', async () => {
    leader.hasCrashed = false
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, listed(id))
    await crashThree()
    expect(leader.state.quarantine.all).toEqual([])
  })

  it('relies on the list if the endpoint can restart under its id, and limits the number of probes', async () => {
    for (const id of ['e1', 'e2', 'e3']) leader.listed.set(id, { ...listed(id), startedAtMs: 7 })
    leader.hasCrashed = false
    await crashThree(['e1@7', 'e2@7', 'e3@7'])
    await vi.advanceTimersByTimeAsync(8000)
    expect(leader.stateOf(POISON)).toBeUndefined()
    expect(leader.probed.filter(id => id === 'e1')).toHaveLength(6)
    leader.listed.clear()
    await vi.advanceTimersByTimeAsync(2000)
    expect(leader.stateOf(POISON)).toBe('quarantined')
  })

  it('proposes a decision again if it was not applied', async () => {
    leader.failedProposals = 2
    await crashThree()
    expect(leader.stateOf(POISON)).toBe('quarantined')
  })

  it('clears a request that has completed, even if it is quarantined', async () => {
    await crashThree()
    leader.task.observe({ host: 'h', losses: [], completed: [POISON, OTHER] })
    await vi.advanceTimersByTimeAsync(100)
    expect(leader.state.quarantine.all).toEqual([])
  })

  it('accepts reports only on the leader, and drops its evidence when the leadership ends', async () => {
    leader.reportLoss('e1', POISON)
    leader.reportLoss('e2', POISON)
    leader.isLeader = false
    await vi.advanceTimersByTimeAsync(200)
    expect(leader.reportLoss('e3', POISON)).toBe(false)
    leader.isLeader = true
    leader.reportLoss('e4', POISON)
    await vi.advanceTimersByTimeAsync(1000)
    expect(leader.state.quarantine.all).toEqual([])
  })

  it('releases a request when the quarantine expires, and quarantines it for longer after one more crash', async () => {
    await crashThree()
    await vi.advanceTimersByTimeAsync(15 * MINUTE_MS)
    expect(leader.stateOf(POISON)).toBe('released')
    leader.reportLoss('e4', POISON)
    await vi.advanceTimersByTimeAsync(1000)
    expect(leader.state.quarantine.find(POISON)).toMatchObject({ state: 'quarantined', quarantines: 2 })
    await vi.advanceTimersByTimeAsync(29 * MINUTE_MS)
    expect(leader.stateOf(POISON)).toBe('quarantined')
  })

  it('proposes nothing and runs only the expiry timer when no reports arrive', async () => {
    await crashThree()
    const { length } = leader.commands
    await vi.advanceTimersByTimeAsync(5 * MINUTE_MS)
    expect(leader.commands).toHaveLength(length)
    // The remaining timer checks for expired entries.
    expect(vi.getTimerCount()).toBe(1)
  })
})

describe('ConfiguredCrashDetector', () => {
  const engine: EngineEndpoint = { kind: 'endpoint', type: 'engine', name: 'engine-0', address: '10.0.0.1:80', dataCentre: 'n', model: 'base', honoursFencing: true }

  async function hasCrashed (name: string, answer: Awaited<ReturnType<ConstructorParameters<typeof ConfiguredCrashDetector>[1] & object>>): Promise<boolean | undefined> {
    const knowledge = new ConfiguredCrashDetector(() => ({ documents: [engine] }), async () => await Promise.resolve(answer)).check([name]).get(name)
    return typeof knowledge === 'function' ? await knowledge() : knowledge === 'ended'
  }

  it.each([
    ['reports another incarnation', succeed({ incarnation: 8 }), true],
    ['reports the same incarnation', succeed({ incarnation: 7 }), false],
    ['cannot be reached', fail({ kind: 'connect-failed' as const }), true],
    ['does not answer in time', fail({ kind: 'timeout' as const }), undefined]
  ])('queries an endpoint that %s', async (_case, answer, expected) => {
    expect(await hasCrashed('engine-0#7', answer)).toBe(expected)
  })

  it.each(['engine-9#7', 'engine-0', 'engine-0#'])('considers an incarnation that is not in the configuration as ended (%s)', async name => {
    expect(await hasCrashed(name, succeed({ incarnation: 7 }))).toBe(true)
  })
})

describe('quarantineMessage', () => {
  const state = new StateMachine()
  state.apply({ stampedAt: 1000, command: { kind: 'change-quarantine', decisions: [{ fingerprint: POISON, service: 's', decision: 'quarantine', forMs: 5000 }] } })

  it('contains all entries with their remaining time if no changes are given', () => {
    expect(quarantineMessage(state.quarantine, undefined, 2000)).toEqual({ quarantine: [{ fingerprint: POISON, service: 's', state: 'quarantined', quarantines: 1, leftMs: 4000 }] })
  })

  it('contains the changed and removed entries, and nothing if there are no changes', () => {
    expect(quarantineMessage(state.quarantine, [OTHER, POISON, OTHER], 9000)).toMatchObject({ quarantine: [{ leftMs: 0 }], quarantineRemoved: [OTHER] })
    expect(quarantineMessage(state.quarantine, [], 2000)).toEqual({})
  })
})
