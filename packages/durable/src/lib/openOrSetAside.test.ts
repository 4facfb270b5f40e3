import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { openOrSetAside } from './openOrSetAside.js'

describe('openOrSetAside', () => {
  let folder = ''
  let path = ''
  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'storage-'))
    path = join(folder, 'control')
  })
  afterEach(async () => { await rm(folder, { recursive: true }) })

  // Guards against a control host that ended at each start because its disk was damaged, and never joined its group again.
  it('keeps a damaged folder and starts under a new identity', async () => {
    const first = await openOrSetAside(path)
    for (const index of [1, 2]) await first.opened.storage.persist([{ kind: 'append', entry: { kind: 'empty', index, term: 1 } }])
    await first.opened.storage.close()
    const log = await readFile(join(path, 'log'))
    log[10] = (log[10] ?? 0) ^ 0xff
    await writeFile(join(path, 'log'), log)
    const second = await openOrSetAside(path)
    await second.opened.storage.close()
    expect(second.setAside).toEqual({ error: { kind: 'log-damaged', file: 'log', offset: 0 }, path: `${path}.damaged` })
    expect(second.opened.replicaId).not.toBe(first.opened.replicaId)
    expect(second.opened.persisted).toEqual({ term: 0, votedFor: undefined, snapshot: undefined, entries: [] })
    expect(await readFile(join(`${path}.damaged`, 'log'))).toEqual(log)
  })

  it('sets nothing aside that can be read', async () => {
    const first = await openOrSetAside(path)
    await first.opened.storage.close()
    const second = await openOrSetAside(path)
    await second.opened.storage.close()
    expect(second.setAside).toBeUndefined()
    expect(second.opened.replicaId).toBe(first.opened.replicaId)
  })
})
