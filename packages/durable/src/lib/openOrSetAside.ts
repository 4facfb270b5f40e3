/** Opens the durable state of a replica; a folder that can't be trusted is kept for the operator, and the replica starts with an empty one. */
import { rename, rm } from 'node:fs/promises'
import { NodeDataFolder, syncParentFolder } from './DataFolder.js'
import { RaftStorage, type OpenedStorage, type StorageError } from './RaftStorage.js'

/** Suffix of a folder that was set aside. */
const SET_ASIDE_SUFFIX = '.damaged'

/** Result of opening a folder. */
export interface OpenedOrSetAside {
  readonly opened: OpenedStorage
  /** Present if the folder held damaged state. The replica then has a new identity, as if its disk had been lost. */
  readonly setAside: { readonly error: StorageError, readonly path: string } | undefined
}

/**
 * A replica whose synced state is damaged must not go on under its identity: it may have forgotten votes and entries that
 * others count on. As a new replica at the same address it replaces its former identity when it joins. Only the folder that
 * was set aside last is kept, since disks are small.
 *
 * @param path - path of the data folder
 * @returns the storage, and what was set aside
 * @throws Error if the empty folder can't be used either
 */
export async function openOrSetAside (path: string): Promise<OpenedOrSetAside> {
  const opened = await RaftStorage.open(await NodeDataFolder.open(path))
  if (opened.ok) return { opened: opened.value, setAside: undefined }
  const keptPath = path + SET_ASIDE_SUFFIX
  await rm(keptPath, { recursive: true, force: true })
  await rename(path, keptPath)
  await syncParentFolder(path)
  const empty = await RaftStorage.open(await NodeDataFolder.open(path))
  if (!empty.ok) throw new Error(`new data folder can't be read: ${JSON.stringify(empty.error)}`)
  return { opened: empty.value, setAside: { error: opened.error, path: keptPath } }
}
