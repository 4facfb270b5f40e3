/** Durable state of one replica: identity, vote, log and snapshot under one data folder. */
import { randomUUID } from 'node:crypto'
import { decode, encode } from '@msgpack/msgpack'
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { DurableWrite, PersistentState, Snapshot } from '@eelgrassmux/consensus/messages/raftMessages'
import type { AppendFile, DataFolder } from './DataFolder.js'
import { PersistentImage } from './PersistentImage.js'
import { frameRecord, scanRecords } from './recordFraming.js'

const IDENTITY_FILE = 'identity'
const LOG_FILE = 'log'
const SNAPSHOT_FILE = 'snapshot'

/** Why durable state can't be used. */
export type StorageError =
  | { readonly kind: 'log-damaged', readonly file: string, readonly offset: number }
  | { readonly kind: 'snapshot-damaged', readonly file: string }
  | { readonly kind: 'log-gap', readonly index: number, readonly expected: number }

/** State found on the disk, and the storage to continue it. */
export interface OpenedStorage {
  readonly storage: RaftStorage
  readonly replicaId: string
  readonly persisted: PersistentState
}

/** Write-ahead log with group commit. One batch is one write and one sync. */
export class RaftStorage {
  #image = new PersistentImage()
  #file: AppendFile | undefined

  private constructor (private readonly folder: DataFolder) {}

  /**
   * Reads the folder; makes an identity on an empty one.
   *
   * @param folder - the replica's own data folder
   * @returns the storage, or why it can't be trusted
   */
  static async open (folder: DataFolder): Promise<Result<OpenedStorage, StorageError>> {
    const storage = new RaftStorage(folder)
    const replicaId = await readIdentity(folder)
    const snapshotBytes = await folder.read(SNAPSHOT_FILE)
    if (snapshotBytes !== undefined) {
      const { payloads } = scanRecords(snapshotBytes)
      if (payloads[0] === undefined) return fail({ kind: 'snapshot-damaged', file: SNAPSHOT_FILE })
      const snapshot = decode(payloads[0]) as Snapshot
      storage.#image = new PersistentImage({ term: 0, votedFor: undefined, snapshot, entries: [] })
    }
    const logBytes = await folder.read(LOG_FILE) ?? new Uint8Array()
    const scan = scanRecords(logBytes)
    if (scan.damagedMiddle) return fail({ kind: 'log-damaged', file: LOG_FILE, offset: scan.validLength })
    for (const payload of scan.payloads) storage.#image.applyWrite(decode(payload) as DurableWrite)
    const persisted = storage.#image.state()
    const gap = findGap(persisted)
    if (gap !== undefined) return fail(gap)
    storage.#file = await folder.openAppend(LOG_FILE, scan.validLength)
    return succeed({ storage, replicaId, persisted })
  }

  /**
   * Makes a batch durable. A rejected promise means the process must stop: after
   * a failed sync the disk's content is unknown and a second try proves nothing.
   *
   * @param writes - writes of one batch, in order
   */
  async persist (writes: readonly DurableWrite[]): Promise<void> {
    if (writes.length === 0) return
    let compacts = false
    for (const write of writes) {
      this.#image.applyWrite(write)
      if (write.kind !== 'snapshot') continue
      compacts = true
      await this.folder.replace(SNAPSHOT_FILE, frameRecord(encode(write.snapshot)))
    }
    if (compacts) {
      await this.#rewriteLog()
      return
    }
    const file = this.#openFile()
    await file.append(Buffer.concat(writes.map(write => frameRecord(encode(write, { ignoreUndefined: true })))))
    await file.sync()
  }

  /** Closes the log file. */
  async close (): Promise<void> {
    await this.#file?.close()
    this.#file = undefined
  }

  #openFile (): AppendFile {
    assertInvariant(this.#file !== undefined, 'storage-open', () => 'write after close')
    return this.#file
  }

  /** After a snapshot the log starts again with the vote and the entries above it. */
  async #rewriteLog (): Promise<void> {
    await this.#openFile().close()
    const { term, votedFor, entries } = this.#image.state()
    const vote: DurableWrite = { kind: 'vote', term, votedFor }
    const appends = entries.map((entry): DurableWrite => ({ kind: 'append', entry }))
    const bytes = Buffer.concat([vote, ...appends].map(write => frameRecord(encode(write, { ignoreUndefined: true }))))
    await this.folder.replace(LOG_FILE, bytes)
    this.#file = await this.folder.openAppend(LOG_FILE, bytes.length)
  }
}

function findGap ({ snapshot, entries }: PersistentState): StorageError | undefined {
  let expected = (snapshot?.index ?? 0) + 1
  for (const entry of entries) {
    if (entry.index !== expected) return { kind: 'log-gap', index: entry.index, expected }
    expected += 1
  }
  return undefined
}

async function readIdentity (folder: DataFolder): Promise<string> {
  const bytes = await folder.read(IDENTITY_FILE)
  if (bytes !== undefined) return Buffer.from(bytes).toString('utf8').trim()
  const id = randomUUID()
  await folder.replace(IDENTITY_FILE, Buffer.from(`${id}\n`))
  return id
}
