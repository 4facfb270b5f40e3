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
  private constructor (private readonly path: string) {}

  /**
   * Opens a folder and creates it if needed. Deletes temporary files of replacements that a crash interrupted.
   *
   * @param path - path of the folder
   * @returns the opened folder
   */
  static async open (path: string): Promise<NodeDataFolder> {
    const created = await mkdir(path, { recursive: true })
    if (created !== undefined) await syncParentFolder(path)
    const folder = new NodeDataFolder(path)
    for (const name of await folder.list()) {
      if (name.endsWith(TEMPORARY_SUFFIX)) await folder.remove(name)
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
    const temporary = join(this.path, name + TEMPORARY_SUFFIX)
    const handle = await open(temporary, 'w')
    const file = new NodeAppendFile(handle)
    await file.append(bytes)
    await handle.sync()
    await handle.close()
    await rename(temporary, join(this.path, name))
    await this.#syncFolder()
  }

  async openAppend (name: string, length: number): Promise<AppendFile> {
    const handle = await open(join(this.path, name), constants.O_RDWR | constants.O_CREAT)
    await handle.truncate(length)
    await handle.sync()
    await handle.close()
    await this.#syncFolder()
    return new NodeAppendFile(await open(join(this.path, name), 'a'))
  }

  async remove (name: string): Promise<void> {
    await rm(join(this.path, name), { force: true })
    await this.#syncFolder()
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
  await handle.sync()
  await handle.close()
}

/**
 * @param error - error of a file operation
 * @returns whether the disk has no room left, so that the same operation may succeed later
 */
export function isDiskFull (error: unknown): boolean {
  return error instanceof Error && 'code' in error && (error.code === 'ENOSPC' || error.code === 'EDQUOT')
}

function isMissing (error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ENOENT'
}
