/** The few file operations that durable state needs. The narrow interface lets tests simulate the loss of unsynced bytes. */
import { constants } from 'node:fs'
import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'
import { dirname, join } from 'node:path'

/** A file that is open for appending. */
export interface AppendFile {
  /** Writes all bytes at the end of the file; they are durable only after {@link AppendFile.sync}. */
  append (bytes: Uint8Array): Promise<void>
  /** Makes everything appended so far durable; rejects if the disk reports an error. */
  sync (): Promise<void>
  /** Removes everything after the given length, as after an append that failed halfway. */
  truncate (length: number): Promise<void>
  close (): Promise<void>
}

/** A flat folder that holds all durable state of one process. */
export interface DataFolder {
  list (): Promise<string[]>
  read (name: string): Promise<Uint8Array | undefined>
  /** Writes a whole file under a temporary name, syncs it, renames it and syncs the folder. */
  replace (name: string, bytes: Uint8Array): Promise<void>
  /** Truncates a file to a length and opens it for appending; creates it if it does not exist. */
  openAppend (name: string, length: number): Promise<AppendFile>
  remove (name: string): Promise<void>
}

const TEMPORARY_SUFFIX = '.tmp'

class NodeAppendFile implements AppendFile {
  constructor (private readonly handle: FileHandle) {}

  async append (bytes: Uint8Array): Promise<void> {
    let written = 0
    while (written < bytes.length) {
      const result = await this.handle.write(bytes, written, bytes.length - written)
      written += result.bytesWritten
    }
  }

  async sync (): Promise<void> {
    await this.handle.datasync()
  }

  async truncate (length: number): Promise<void> {
    await this.handle.truncate(length)
  }

  async close (): Promise<void> {
    await this.handle.close()
  }
}

/** {@link DataFolder} on the local file system. */
export class NodeDataFolder implements DataFolder {
  private constructor (private readonly path: string, private readonly foreignNames: ReadonlySet<string>) {}

  /** Names of folders inside this one. They are not of this program, which leaves them as they are and uses other names. */
  get foreignEntries (): readonly string[] { return [...this.foreignNames] }

  /**
   * Opens a folder and creates it if needed. Deletes temporary files of replacements that a crash interrupted.
   *
   * @param path - path of the folder
   * @returns the opened folder
   */
  static async open (path: string): Promise<NodeDataFolder> {
    const created = await mkdir(path, { recursive: true })
    if (created !== undefined) await syncParentFolder(path)
    const entries = await readdir(path, { withFileTypes: true })
    const folder = new NodeDataFolder(path, new Set(entries.filter(entry => entry.isDirectory()).map(({ name }) => name)))
    for (const entry of entries) {
      if (entry.name.endsWith(TEMPORARY_SUFFIX) && !entry.isDirectory()) await folder.remove(entry.name)
    }
    return folder
  }

  async list (): Promise<string[]> {
    return await readdir(this.path)
  }

  async read (name: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(join(this.path, name))
    } catch (error) {
      if (isMissing(error)) return undefined
      throw error
    }
  }

  async replace (name: string, bytes: Uint8Array): Promise<void> {
    const temporary = join(this.path, this.#temporaryName(name))
    const handle = await open(temporary, 'w')
    try {
      await new NodeAppendFile(handle).append(bytes)
      await handle.sync()
    } finally {
      await handle.close()
    }
    await rename(temporary, join(this.path, name))
    await this.#syncFolder()
  }

  async openAppend (name: string, length: number): Promise<AppendFile> {
    const handle = await open(join(this.path, name), constants.O_RDWR | constants.O_CREAT)
    try {
      await handle.truncate(length)
      await handle.sync()
    } finally {
      await handle.close()
    }
    await this.#syncFolder()
    return new NodeAppendFile(await open(join(this.path, name), 'a'))
  }

  async remove (name: string): Promise<void> {
    await rm(join(this.path, name), { force: true })
    await this.#syncFolder()
  }

  #temporaryName (name: string): string {
    let temporary = name + TEMPORARY_SUFFIX
    while (this.foreignNames.has(temporary)) temporary = `other-${temporary}`
    return temporary
  }

  async #syncFolder (): Promise<void> {
    await syncFolder(this.path)
  }
}

/**
 * Makes a new or renamed folder durable under its name.
 *
 * @param path - path of the folder whose parent is synced
 */
export async function syncParentFolder (path: string): Promise<void> {
  await syncFolder(dirname(path))
}

async function syncFolder (path: string): Promise<void> {
  const handle = await open(path, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

/**
 * @param error - error of a file operation
 * @returns whether the disk has no room left, so that the same operation may succeed later
 */
export function isDiskFull (error: unknown): boolean {
  return error instanceof Error && 'code' in error && (error.code === 'ENOSPC' || error.code === 'EDQUOT')
}

/** Codes of errors that only another setting changes. */
const WRONG_PATH_CODES: ReadonlySet<unknown> = new Set(['ENOTDIR', 'EEXIST', 'EISDIR', 'ENAMETOOLONG', 'ELOOP', 'EINVAL'])

/**
 * @param error - error of a file operation
 * @returns whether the system refused the operation, for example because of a disk that is faulty or missing, so that it may succeed later
 */
export function isRefusedBySystem (error: unknown): boolean {
  return error instanceof Error && 'syscall' in error && 'code' in error && !WRONG_PATH_CODES.has(error.code)
}

/**
 * @param error - error of a file operation
 * @returns whether a folder has the name of the file
 */
export function isFolder (error: unknown): error is Error {
  return error instanceof Error && 'code' in error && error.code === 'EISDIR'
}

function isMissing (error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ENOENT'
}
