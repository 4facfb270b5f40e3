/**
 * A program in one file, with the code that the engine compiled from it.
 *
 * A third of the time in which a daemon starts goes into compiling what was
 * compiled at every start before. The build keeps the result beside the bundle.
 * The engine checks that it fits the source, its own version and its flags, and
 * compiles anew if not: a wrong file costs time and nothing else.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname } from 'node:path'
import { Script } from 'node:vm'

/** Ending of the file with the compiled code, after the bundle's own name. */
const COMPILED_ENDING = '.compiled'

type ModuleFunction = (module: { exports: object }, require: NodeJS.Require, filename: string, directory: string) => void

/** One CommonJS bundle. */
export class CompiledBundle<Exports extends object> {
  readonly #script: Script
  /** Why the kept code is not used; undefined if it is. */
  readonly compiledAnew: 'missing' | 'rejected' | undefined

  /** @param path - absolute path of the bundle */
  constructor (private readonly path: string) {
    const source = readFileSync(path, 'utf8')
    const kept = readIfPresent(path + COMPILED_ENDING)
    this.#script = new Script(`(function (module, require, __filename, __dirname) { const { exports } = module;${source}\n})`, {
      filename: path,
      ...(kept === undefined ? {} : { cachedData: kept })
    })
    const isRejected = this.#script.cachedDataRejected === true
    this.compiledAnew = kept === undefined ? 'missing' : isRejected ? 'rejected' : undefined
  }

  /** @returns what the bundle exports */
  run (): Exports {
    const module = { exports: {} }
    const start = this.#script.runInThisContext() as ModuleFunction
    start(module, createRequire(this.path), this.path, dirname(this.path))
    return module.exports as Exports
  }

  /** Keeps the code compiled so far beside the bundle. */
  saveCompiledCode (): void {
    writeFileSync(this.path + COMPILED_ENDING, this.#script.createCachedData())
  }
}

function readIfPresent (path: string): Buffer | undefined {
  try {
    return readFileSync(path)
  } catch (error) {
    if (error instanceof Error && 'code' in error && error.code === 'ENOENT') return undefined
    throw error
  }
}
