/** Durable state of one replica: identity, vote, log and snapshot in one data folder. */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { decode, encode } from '@msgpack/msgpack'
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { DurableWrite, PersistentState, Snapshot } from '@eelgrassmux/consensus/messages/raftMessages'
import { isDiskFull, type AppendFile, type DataFolder } from './DataFolder.js'
import { PersistentImage } from './PersistentImage.js'
import { frameRecord, scanRecords } from './recordFraming.js'

const IDENTITY_FILE = 'identity'
const LOG_FILE = 'log'
const SNAPSHOT_FILE = 'snapshot'

/** Interval at which a batch is written again while the disk is full, in milliseconds. */
const DISK_FULL_RETRY_MS = 100

/** Why durable state can't be used. */
export type StorageError =
  | { readonly kind: 'log-damaged', readonly file: string, readonly offset: number }
  | { readonly kind: 'snapshot-damaged', readonly file: string }
  | { readonly kind: 'log-gap', readonly index: number, readonly expected: number }

/** State found on the disk, and the storage that later writes go to. */
export interface OpenedStorage {
  readonly storage: RaftStorage
  readonly replicaId: string
  readonly persisted: PersistentState
}

/** Write-ahead log with group commit: a batch takes one record, one write and one sync. */
export class RaftStorage {
  #image = new PersistentImage()
  #file: AppendFile | undefined
  /** Length of the log up to the last complete batch, in bytes. */
  #length = 0
  #isClosing = false
  /** Called when the disk becomes full, and when it takes the batch that had to wait. */
  onDiskFull: (isFull: boolean) => void = () => {}

  private constructor (private readonly folder: DataFolder) {}

  /**
   * Reads the state of a replica; creates an identity if the folder is empty.
   *
   * @param folder - data folder of the replica
   * @returns the storage and its state, or an error if the state is damaged
   */
  static async open (folder: DataFolder): Promise<Result<OpenedStorage, StorageError>> {
    const storage = new RaftStorage(folder)
    const replicaId = await readIdentity(folder)
    const snapshotBytes = await folder.read(SNAPSHOT_FILE)
    const snapshotRecord = snapshotBytes === undefined ? undefined : scanRecords(snapshotBytes).payloads[0]
    if (snapshotBytes !== undefined && snapshotRecord === undefined) return fail({ kind: 'snapshot-damaged', file: SNAPSHOT_FILE })
    const logBytes = await folder.read(LOG_FILE) ?? new Uint8Array()
    const scan = scanRecords(logBytes)
    if (scan.hasDamagedMiddle) return fail({ kind: 'log-damaged', file: LOG_FILE, offset: scan.validLength })
    for (const write of scan.payloads.flatMap(decodeBatch)) storage.#image.applyWrite(write)
    if (snapshotRecord !== undefined) storage.#image.restoreSnapshot(decode(snapshotRecord) as Snapshot)
    const persisted = storage.#image.state()
    const gap = findGap(persisted)
    if (gap !== undefined) return fail(gap)
    storage.#file = await folder.openAppend(LOG_FILE, scan.validLength)
    storage.#length = scan.validLength
    return succeed({ storage, replicaId, persisted })
  }

  /**
   * Makes a batch durable. If the promise is rejected, the process must stop: after a failed
   * sync, the contents of the disk are unknown, and a retry that succeeds proves nothing.
   *
   * @param writes - writes of the batch, in order
   */
  async persist (writes: readonly DurableWrite[]): Promise<void> {
    if (writes.length === 0) return
    let hasSnapshot = false
    for (const write of writes) {
      this.#image.applyWrite(write)
      if (write.kind !== 'snapshot') continue
      hasSnapshot = true
      await this.folder.replace(SNAPSHOT_FILE, frameRecord(encode(write.snapshot)))
    }
    if (hasSnapshot) {
      await this.#rewriteLog()
      return
    }
    const file = this.#openFile()
    await this.#append(file, encodeBatch(writes))
    await file.sync()
  }

  /** Ends a wait for a full disk; the batch then fails. Must be called before {@link RaftStorage.close}. */
  stopWaiting (): void {
    this.#isClosing = true
  }

  /** Closes the log file. */
  async close (): Promise<void> {
    await this.#file?.close()
    this.#file = undefined
  }

  /** Waits while the disk is full; nothing that depends on the batch is sent or answered meanwhile. */
  async #append (file: AppendFile, bytes: Uint8Array): Promise<void> {
    for (let isFull = false; ; isFull = true) {
      try {
        await file.append(bytes)
        this.#length += bytes.length
        if (isFull) this.onDiskFull(false)
        return
      } catch (error) {
        if (!isDiskFull(error) || this.#isClosing) throw error
        if (!isFull) this.onDiskFull(true)
        await file.truncate(this.#length)
        await sleep(DISK_FULL_RETRY_MS)
      }
    }
  }

  #openFile (): AppendFile {
    assertInvariant(this.#file !== undefined, 'storage-open', () => 'write after close')
    return this.#file
  }

  /** Rewrites the log after a snapshot: only the vote and the entries after the snapshot remain. */
  async #rewriteLog (): Promise<void> {
    await this.#openFile().close()
    const { term, votedFor, entries } = this.#image.state()
    const vote: DurableWrite = { kind: 'vote', term, votedFor }
    const appends = entries.map((entry): DurableWrite => ({ kind: 'append', entry }))
    const bytes = encodeBatch([vote, ...appends])
    await this.folder.replace(LOG_FILE, bytes)
    this.#file = await this.folder.openAppend(LOG_FILE, bytes.length)
    this.#length = bytes.length
  }
}

/**
 * Encodes the writes of a batch as one record. After a power loss each sector of the last batch may be present or missing, so
 * a batch of several records could leave valid ones behind a missing one, which looks like the loss of synced bytes.
 */
function encodeBatch (writes: readonly DurableWrite[]): Uint8Array {
  return frameRecord(encode(writes, { ignoreUndefined: true }))
}

/** Logs of earlier releases have a record for each write. */
function decodeBatch (payload: Uint8Array): DurableWrite[] {
  const decoded = decode(payload) as DurableWrite | DurableWrite[]
  return Array.isArray(decoded) ? decoded : [decoded]
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
