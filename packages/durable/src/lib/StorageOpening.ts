/** Opens the durable state of a replica; a folder that can't be trusted is kept for the operator, and the replica starts with an empty one. */
import { readdir, rename, rm } from 'node:fs/promises'
import { basename, dirname } from 'node:path'
import { NodeDataFolder, syncParentFolder } from './DataFolder.js'
import { RaftStorage, type OpenedStorage, type StorageError } from './RaftStorage.js'

/** Suffix of a folder that was set aside. */
const SET_ASIDE_SUFFIX = '.damaged'

/** Result of opening a folder. */
export interface OpenedOrSetAside {
  readonly opened: OpenedStorage
  /** Present if the folder held damaged state. The replica then has a new identity, as if its disk had been lost. */
  readonly setAside: { readonly error: StorageError, readonly path: string } | undefined
  /** Whether a folder that was set aside now or by an earlier process still exists: the replica may have belonged to a group. */
  readonly isDamagedKept: boolean
  /** Names of folders among the files, which are left as they are. */
  readonly foreignEntries: readonly string[]
}

/**
 * A replica whose synced state is damaged must not go on under its identity: it may have forgotten votes and entries that
 * others count on. As a new replica at the same address it replaces its former identity when it joins. Only the folder that
 * was set aside last is kept, since disks are small.
 */
export class StorageOpening {
  #setAside: OpenedOrSetAside['setAside']

  /** @param path - path of the data folder */
  constructor (private readonly path: string) {}

  /**
   * Opens the folder. May be called again after a rejection: nothing that an earlier attempt read or synced is relied on.
   *
   * @returns the storage, and what was set aside by this attempt or an earlier one
   * @throws Error if the disk refuses an operation, or if the empty folder can't be used either
   */
  async attempt (): Promise<OpenedOrSetAside> {
    const folder = await NodeDataFolder.open(this.path)
    await syncParentFolder(this.path)
    const keptPath = this.path + SET_ASIDE_SUFFIX
    const isDamagedKept = (await readdir(dirname(this.path))).includes(basename(keptPath))
    const opened = await RaftStorage.open(folder)
    if (opened.ok) return { opened: opened.value, setAside: this.#setAside, isDamagedKept, foreignEntries: folder.foreignEntries }
    await rm(keptPath, { recursive: true, force: true })
    await rename(this.path, keptPath)
    this.#setAside = { error: opened.error, path: keptPath }
    await syncParentFolder(this.path)
    const emptyFolder = await NodeDataFolder.open(this.path)
    const empty = await RaftStorage.open(emptyFolder)
    if (!empty.ok) throw new Error(`new data folder can't be read: ${JSON.stringify(empty.error)}`)
    return { opened: empty.value, setAside: this.#setAside, isDamagedKept: true, foreignEntries: [] }
  }
}
