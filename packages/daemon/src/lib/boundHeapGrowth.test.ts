import { spawnSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { entryMemoryBudget } from './MemoryBudget.js'

const SYSTEM = new URL('../../../../deploy/system.toml', import.meta.url)

/** Prints the most that the young generation and the heap occupied while much garbage was made beside a few live megabytes. */
const garbageProgram = (memoryMb: number): string => `
  import { getHeapSpaceStatistics, getHeapStatistics } from 'node:v8'
  import { boundHeapGrowth } from '${new URL('../../dist/lib/boundHeapGrowth.js', import.meta.url).href}'
  boundHeapGrowth(${memoryMb})
  const heapBefore = getHeapStatistics().total_heap_size
  let young = 0
  let growth = 0
  // Objects that live through a few collections, as those of requests do.
  const underWay = new Array(40_000)
  for (let request = 0; request < 2_000_000; request += 1) {
    underWay[request % underWay.length] = { request, headers: ['a', request] }
    if (request % 10_000 > 0) continue
    const spaces = getHeapSpaceStatistics().filter(({ space_name: name }) => name === 'new_space' || name === 'new_large_object_space')
    young = Math.max(young, spaces.reduce((sum, space) => sum + space.space_size, 0))
    growth = Math.max(growth, getHeapStatistics().total_heap_size - heapBefore)
  }
  console.log(JSON.stringify({ young, growth }))
`

/** Returns the flags of the entry host's command. */
function readFlags (): string[] {
  const [, flags = ''] = /^run = "node (.*?)target\/start\.cjs entry/m.exec(readFileSync(SYSTEM, 'utf8')) ?? []
  return flags.split(' ').filter(flag => flag !== '')
}

describe('the heap of a program', () => {
  // Guards against a host that is killed in plain load because its heap grows as if all of the machine's memory were its own.
  it.each([178, 200, 350])('stays within the budget of a host of %i MB while it makes garbage, whatever the memory of the machine', memoryMb => {
    const { youngGenerationBytes, heapBytes } = entryMemoryBudget(memoryMb)
    const { stdout, stderr } = spawnSync(process.execPath, [...readFlags(), '--input-type=module', '--eval', garbageProgram(memoryMb)], { encoding: 'utf8' })
    expect(stderr).toBe('')
    const { young, growth } = JSON.parse(stdout) as { young: number, growth: number }
    expect(young).toBeLessThanOrEqual(youngGenerationBytes)
    expect(growth).toBeLessThanOrEqual(youngGenerationBytes + heapBytes)
  })
})
