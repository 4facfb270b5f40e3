import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { CompiledBundle } from './CompiledBundle.js'

interface Program { readonly answer: () => string }

describe('CompiledBundle', () => {
  let folder = ''
  let path = ''

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'bundle-'))
    path = join(folder, 'program.cjs')
    writeFileSync(path, 'const { sep } = require("node:path"); exports.answer = () => "one" + sep')
  })

  afterEach(() => { rmSync(folder, { recursive: true }) })

  it('runs without kept code, and with it', () => {
    const first = new CompiledBundle<Program>(path)
    expect(first.compiledAnew).toBe('missing')
    expect(first.run().answer()).toBe('one/')
    first.saveCompiledCode()
    const second = new CompiledBundle<Program>(path)
    expect(second.compiledAnew).toBeUndefined()
    expect(second.run().answer()).toBe('one/')
  })

  it('never runs code that was kept of another source', () => {
    new CompiledBundle<Program>(path).saveCompiledCode()
    writeFileSync(path, 'exports.answer = () => "a longer program"')
    const changed = new CompiledBundle<Program>(path)
    expect(changed.compiledAnew).toBe('rejected')
    expect(changed.run().answer()).toBe('a longer program')
  })

  it('runs when what was kept is damaged', () => {
    new CompiledBundle<Program>(path).saveCompiledCode()
    writeFileSync(`${path}.compiled`, 'damaged')
    expect(new CompiledBundle<Program>(path).run().answer()).toBe('one/')
  })
})
