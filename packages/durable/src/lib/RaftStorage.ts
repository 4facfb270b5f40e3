/** Durable state of one replica: identity, vote, log and snapshot in one data folder. */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { decode, encode } from '@msgpack/msgpack'
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { DurableWrite, PersistentState, Snapshot } from '@eelgrassmux/consensus/messages/raftMessages'
import { isDiskFull, isFolder, isRefusedBySystem, type AppendFile, type DataFolder } from './DataFolder.js'
import { PersistentImage } from './PersistentImage.js'
import { frameRecord, scanRecords } from './recordFraming.js'

const IDENTITY_FILE = 'identity'
const LOG_FILE = 'log'
const SNAPSHOT_FILE = 'snapshot'

/** Interval at which a batch is written again while the disk is full, in milliseconds. */
const DISK_FULL_RETRY_MS = 100

/** Interval at which the state is written again while the disk refuses writes, in milliseconds: the whole log is written each time. */
const REFUSED_RETRY_MS = 250

/** Why durable state can't be used. */
export type StorageError =
  /** A folder has the name of a file. */
  | { readonly kind: 'foreign-folder', readonly message: string }
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
  #isDiskFull = false
  #isRefused = false
  /** Called when the disk becomes full, and when it takes the batch that had to wait. */
  onDiskFull: (isFull: boolean) => void = () => {}
  /** Called with the error when the disk refuses a write for another reason, and with undefined when it has taken the batch. */
  onRefusedWrite: (error: unknown) => void = () => {}

  private constructor (private readonly folder: DataFolder) {}

  /** Whether a batch waits because the disk is full or refuses writes. */
  get isDiskRefusing (): boolean { return this.#isDiskFull || this.#isRefused }

  /**
   * Reads the state of a replica; creates an identity if the folder is empty. What was read is written to new files before
   * it is relied on: if a sync of an earlier process failed, the bytes may be readable but not on the disk, and another sync
   * of the same file proves nothing.
   *
   * @param folder - data folder of the replica
   * @returns the storage and its state, or an error if the state is damaged
   */
  static async open (folder: DataFolder): Promise<Result<OpenedStorage, StorageError>> {
    try {
      return await RaftStorage.#read(folder)
    } catch (error) {
      if (!isFolder(error)) throw error
      return fail({ kind: 'foreign-folder', message: error.message })
    }
  }

  static async #read (folder: DataFolder): Promise<Result<OpenedStorage, StorageError>> {
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
    if (snapshotBytes !== undefined) await folder.replace(SNAPSHOT_FILE, snapshotBytes)
    if (logBytes.length > 0) await folder.replace(LOG_FILE, logBytes.subarray(0, scan.validLength))
    storage.#file = await folder.openAppend(LOG_FILE, scan.validLength)
    storage.#length = scan.validLength
    return succeed({ storage, replicaId, persisted })
  }

  /**
   * Makes a batch durable. While the disk refuses writes, the promise is pending, as with a slow disk. After a
   * failed sync the contents of the file are unknown and another sync proves nothing, so that the whole state is
   * written to a new file. If the promise is rejected, the process must stop.
   *
   * @param writes - writes of the batch, in order
   */
  async persist (writes: readonly DurableWrite[]): Promise<void> {
    if (writes.length === 0) return
    const file = this.#openFile()
    for (const write of writes) this.#image.applyWrite(write)
    const hasSnapshot = writes.some(({ kind }) => kind === 'snapshot')
    try {
      if (hasSnapshot) {
        await this.#writeState(hasSnapshot)
        return
      }
      await this.#append(file, encodeBatch(writes))
      await file.sync()
    } catch (error) {
      await this.#writeStateWhenTaken(error, hasSnapshot)
    }
  }

  /** Ends a wait for a disk that is full or refuses writes; the batch then fails. Must be called before {@link RaftStorage.close}. */
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
    for (;;) {
      try {
        await file.append(bytes)
        this.#length += bytes.length
        this.#reportDiskFull(false)
        return
      } catch (error) {
        if (!isDiskFull(error) || this.#isClosing) throw error
        this.#reportDiskFull(true)
        await file.truncate(this.#length)
        await sleep(DISK_FULL_RETRY_MS)
      }
    }
  }

  #reportDiskFull (isFull: boolean): void {
    if (isFull === this.#isDiskFull) return
    this.#isDiskFull = isFull
    this.onDiskFull(isFull)
  }

  #openFile (): AppendFile {
    assertInvariant(this.#file !== undefined, 'storage-open', () => 'write after close')
    return this.#file
  }

  async #writeStateWhenTaken (refusal: unknown, hasSnapshot: boolean): Promise<void> {
    let error = refusal
    this.#isRefused = true
    this.onRefusedWrite(refusal)
    for (;;) {
      if (this.#isClosing || !isRefusedBySystem(error)) throw error
      await sleep(REFUSED_RETRY_MS)
      try {
        await this.#writeState(hasSnapshot)
        this.#isRefused = false
        this.onRefusedWrite(undefined)
        this.#reportDiskFull(false)
        return
      } catch (next) {
        error = next
      }
    }
  }

  async #writeState (hasSnapshot: boolean): Promise<void> {
    const { snapshot } = this.#image.state()
    if (hasSnapshot && snapshot !== undefined) await this.folder.replace(SNAPSHOT_FILE, frameRecord(encode(snapshot)))
    await this.#rewriteLog()
  }

  /** Writes a new log: only the vote and the entries after the snapshot remain. */
  async #rewriteLog (): Promise<void> {
    // An error of the file that is replaced says nothing about the new one.
    await this.#file?.close().catch(() => {})
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
