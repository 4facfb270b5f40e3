import { describe, expect, it } from 'vitest'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { StoreChange, StoredPart } from '@eelgrassmux/schema/site/storedParts'
import { RejectedEntries, rejectEntry } from '@eelgrassmux/telemetry/RejectedEntries'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { findObsoleteParts } from './findObsoleteParts.js'
import { StoreFollower, type StoreEvents, type StoreListing, type StoreSource } from './StoreFollower.js'

const STORE: StoreService = { type: 'store', name: 's', address: '10.0.0.1:1', dataCentre: 'n', cacheTokens: 1, linkMbps: 1, firstByteMs: 0, isManaged: true }

type Failure = { readonly kind: string }

/** Store that returns scripted answers and stops the follower when a script ends. */
class ScriptedStore implements StoreSource {
  follower: StoreFollower | undefined
  listings = 0

  constructor (
    private readonly lists: Array<Result<StoreListing, Failure>>, private readonly answers: Array<Result<StoreEvents, Failure>>
  ) {}

  async events (): Promise<Result<StoreEvents, Failure>> {
    const answer = this.answers.shift()
    if (answer === undefined) this.follower?.stop()
    return answer ?? fail({ kind: 'script-ended' })
  }

  async listing (): Promise<Result<StoreListing, Failure>> {
    this.listings += 1
    const list = this.lists.shift()
    if (list === undefined) this.follower?.stop()
    return list ?? fail({ kind: 'script-ended' })
  }

  async free (): Promise<Result<true, Failure>> {
    return succeed(true)
  }
}

const part = (id: string): StoredPart => ['v1', id]
const listing = (epoch: number, next: number, ...ids: string[]): Result<StoreListing, Failure> =>
  succeed({ startedAtMs: undefined, epoch, next, parts: ids.map(part), partial: [], rejected: [] })
/** Returns the same answer with a start time of the store. */
function startedAt<Answer extends { startedAtMs: number | undefined }> (startedAtMs: number, answer: Result<Answer, Failure>): Result<Answer, Failure> {
  return answer.ok ? succeed({ ...answer.value, startedAtMs }) : answer
}

const events = (epoch: number, next: number, ...listed: Array<[sign: '+' | '-', id: string]>): Result<StoreEvents, Failure> => succeed({
  startedAtMs: undefined, epoch, next, hasGap: false, clockMs: undefined, rejected: [], events: listed.map(([sign, id]) => ({ kind: sign === '+' ? 'stored' as const : 'removed' as const, part: part(id) }))
})

async function follow (source: ScriptedStore, telemetry = new Telemetry('test')): Promise<{ held: Set<string> | undefined, changes: StoreChange[] }> {
  const changes: StoreChange[] = []
  const follower = new StoreFollower(STORE, source, change => { changes.push(change) }, () => {}, new RejectedEntries(telemetry), telemetry)
  source.follower = follower
  await follower.run()
  let held: Set<string> | undefined
  // The end of the script looks like a lost store, so the last change is left out.
  for (const change of changes.slice(0, -1)) {
    if (change.kind === 'lost') held = undefined
    else if (change.kind === 'whole') held = new Set()
    for (const [, id] of change.removed) held?.delete(id)
    for (const [, id] of change.added) held?.add(id)
  }
  return { held, changes }
}

describe('StoreFollower', () => {
  it('starts with the whole listing and applies events', async () => {
    const { held } = await follow(new ScriptedStore([listing(1, 5, 'a')], [events(1, 7, ['+', 'b'], ['-', 'a'])]))
    expect(held).toEqual(new Set(['b']))
  })

  it('applies the last event of a part that was stored and removed within one answer', async () => {
    const { held } = await follow(new ScriptedStore([listing(1, 5)], [events(1, 9, ['+', 'a'], ['-', 'a'], ['+', 'b'], ['-', 'b'], ['+', 'b'])]))
    expect(held).toEqual(new Set(['b']))
  })

  it('reads the listing again after a gap', async () => {
    const gap: Result<StoreEvents, Failure> = succeed({ startedAtMs: undefined, epoch: 1, next: 40, hasGap: true, events: [], clockMs: undefined, rejected: [] })
    const source = new ScriptedStore([listing(1, 5, 'a'), listing(1, 40, 'c')], [gap])
    const { held } = await follow(source)
    expect(source.listings).toBe(2)
    expect(held).toEqual(new Set(['c']))
  })

  it('drops all parts when the store has restarted', async () => {
    const { held } = await follow(new ScriptedStore([listing(1, 5, 'a'), listing(2, 1)], [events(2, 1)]))
    expect(held).toEqual(new Set())
  })

  it('drops all parts when the store reports a later start time with the same epoch', async () => {
    const source = new ScriptedStore([startedAt(1000, listing(1, 5, 'a')), startedAt(2000, listing(1, 1))], [startedAt(2000, events(1, 1))])
    const { held, changes } = await follow(source)
    expect(held).toEqual(new Set())
    expect(changes.map(change => change.kind)).toEqual(['whole', 'whole', 'lost'])
  })

  it('ignores events of an earlier start that arrive late', async () => {
    const source = new ScriptedStore([startedAt(2000, listing(2, 5, 'a'))], [startedAt(1000, events(2, 9, ['-', 'a'], ['+', 'b']))])
    const { held } = await follow(source)
    expect(held).toEqual(new Set(['a']))
    expect(source.listings).toBe(1)
  })

  it('ignores a listing of an earlier start that arrives late', async () => {
    const source = new ScriptedStore([startedAt(2000, listing(2, 5, 'a')), startedAt(1000, listing(1, 5, 'b'))], [events(2, 6), startedAt(2000, events(3, 7))])
    const { held } = await follow(source)
    expect(held).toEqual(new Set(['a']))
  })

  it('counts unusable entries of events and listings', async () => {
    const telemetry = new Telemetry('test')
    const [list, event] = [listing(1, 5, 'a'), events(1, 6)]
    if (!list.ok || !event.ok) throw new Error('scripted answers must be successful')
    const bad = [rejectEntry('malformed', 7)]
    await follow(new ScriptedStore([succeed({ ...list.value, rejected: bad })], [succeed({ ...event.value, rejected: [...bad, ...bad] })]), telemetry)
    expect(await telemetry.registry.metrics()).toContain('rejected_entries_total{source="s",program="test"} 3')
  })

  it('reports a store as lost as soon as it does not answer', async () => {
    const { changes } = await follow(new ScriptedStore([listing(1, 5, 'a'), listing(1, 5, 'a')], [fail({ kind: 'unreachable' })]))
    expect(changes.map(change => change.kind)).toEqual(['whole', 'lost', 'whole', 'lost'])
  })
})

describe('findObsoleteParts', () => {
  const engine = (version: number): ListedEndpoint =>
    ({ id: `e${version}`, service: 'p', address: '', dataCentre: 'n', slots: 1, isLeaving: false, isBusy: false, models: [{ model: 'm', version }] })
  const parts: StoredPart[] = [['v1', 'a'], ['v2', 'b'], ['v1/ward', 'c'], ['foreign', 'd']]

  it('finds parts of weights that no engine holds any more', () => {
    expect(findObsoleteParts(parts, [engine(2), engine(3)])).toEqual([['v1', 'a'], ['v1/ward', 'c']])
  })

  it('finds none while one engine still holds the weights', () => {
    expect(findObsoleteParts(parts, [engine(1), engine(3)])).toEqual([])
  })

  it('finds none when no engine is known', () => {
    expect(findObsoleteParts(parts, [])).toEqual([])
  })
})
