/**
 * A program bundled into one file, with a V8 code cache.
 *
 * A daemon spends a third of its start time on compiling the same source as at every previous
 * start, so the build saves the compiled code next to the bundle. V8 checks that the cached code
 * matches the source, the V8 version and the flags, and compiles the source again if it does not:
 * a wrong cache file costs only time.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname } from 'node:path'
import { Script } from 'node:vm'

/** Suffix of the file with the compiled code, appended to the name of the bundle. */
const COMPILED_SUFFIX = '.compiled'

type ModuleFunction = (module: { exports: object }, require: NodeJS.Require, filename: string, directory: string) => void

/** One CommonJS bundle. */
export class CompiledBundle<Exports extends object> {
  readonly #script: Script
  /** Why the cached code is not used; undefined if it is used. */
  readonly compiledAnew: 'missing' | 'rejected' | undefined

  /** @param path - absolute path of the bundle */
  constructor (private readonly path: string) {
    const source = readFileSync(path, 'utf8')
    const cachedCode = readIfPresent(path + COMPILED_SUFFIX)
    this.#script = new Script(`(function (module, require, __filename, __dirname) { const { exports } = module;${source}\n})`, {
      filename: path,
      ...(cachedCode === undefined ? {} : { cachedData: cachedCode })
    })
    const isRejected = this.#script.cachedDataRejected === true
    this.compiledAnew = cachedCode === undefined ? 'missing' : isRejected ? 'rejected' : undefined
  }

  /** @returns the exports of the bundle */
  run (): Exports {
    const module = { exports: {} }
    const start = this.#script.runInThisContext() as ModuleFunction
    start(module, createRequire(this.path), this.path, dirname(this.path))
    return module.exports as Exports
  }

  /** Saves the code compiled so far next to the bundle. */
  saveCompiledCode (): void {
    writeFileSync(this.path + COMPILED_SUFFIX, this.#script.createCachedData())
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
