import { mkdir, mkdtemp, readdir, readFile, rename, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { isRefusedBySystem } from './DataFolder.js'
import { StorageOpening, type OpenedOrSetAside } from './StorageOpening.js'

const openOrSetAside = async (path: string): Promise<OpenedOrSetAside> => await new StorageOpening(path).attempt()

describe('StorageOpening', () => {
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
    // Guards against a second group, founded at the start after the one that set the state aside.
    const third = await openOrSetAside(path)
    await third.opened.storage.close()
    expect([first, second, third].map(({ isDamagedKept }) => isDamagedKept)).toEqual([false, true, true])
  })

  // Guards against a control host that never started again because a folder among its files had the name of a temporary file.
  it('leaves folders among the files as they are, and uses other names', async () => {
    for (const name of ['log.tmp', 'snapshot.tmp', 'other.tmp', 'notes']) await mkdir(join(path, name, 'kept'), { recursive: true })
    const first = await openOrSetAside(path)
    expect([...first.foreignEntries].sort()).toEqual(['log.tmp', 'notes', 'other.tmp', 'snapshot.tmp'])
    const snapshot = { index: 1, term: 1, membership: { voters: [], learners: [] }, state: new Uint8Array([1]) }
    await first.opened.storage.persist([{ kind: 'append', entry: { kind: 'empty', index: 1, term: 1 } }])
    await first.opened.storage.persist([{ kind: 'snapshot', snapshot }])
    await first.opened.storage.close()
    const second = await openOrSetAside(path)
    await second.opened.storage.close()
    expect(second.setAside).toBeUndefined()
    expect(second.opened.persisted.snapshot).toEqual(snapshot)
    expect(await readdir(join(path, 'log.tmp'))).toEqual(['kept'])
  })

  it('sets the state aside if a folder has the name of one of its files', async () => {
    await mkdir(join(path, 'log'), { recursive: true })
    const { opened, setAside } = await openOrSetAside(path)
    await opened.storage.close()
    expect(setAside?.error.kind).toBe('foreign-folder')
  })

  // Guards against a control host that ended with code 3 at each start until its disk took writes again.
  it('may be attempted again after the disk refused, and keeps the state that can be read', async () => {
    const first = await openOrSetAside(path)
    await first.opened.storage.persist([{ kind: 'append', entry: { kind: 'empty', index: 1, term: 1 } }])
    await first.opened.storage.close()
    const opening = new StorageOpening(path)
    await rename(path, `${path}.away`)
    await writeFile(path, 'not mounted')
    await expect(opening.attempt()).rejects.toSatisfy(error => !isRefusedBySystem(error))
    await rm(path)
    await rename(`${path}.away`, path)
    const { opened, setAside } = await opening.attempt()
    await opened.storage.close()
    expect(setAside).toBeUndefined()
    expect(opened.replicaId).toBe(first.opened.replicaId)
    expect(opened.persisted.entries).toHaveLength(1)
  })

  // Guards against waiting without end for what only another setting changes.
  it('tells a disk that refuses from a path that is wrong', () => {
    const errorOf = (code: string): Error => Object.assign(new Error(code), { code, syscall: 'open' })
    for (const code of ['EIO', 'ENOSPC', 'EROFS', 'EACCES', 'EFBIG']) expect(isRefusedBySystem(errorOf(code))).toBe(true)
    for (const code of ['ENOTDIR', 'EEXIST', 'EISDIR']) expect(isRefusedBySystem(errorOf(code))).toBe(false)
    expect(isRefusedBySystem(new Error('a violated invariant'))).toBe(false)
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
