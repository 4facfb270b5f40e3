import { describe, expect, it } from 'vitest'
import { PROMISES, type PromiseName } from './CheckRecorder.js'
import { proveAll } from './proveAll.js'

async function prove (options: { runs: number, seed: number, promise?: PromiseName, broken?: PromiseName, stopAtFirstViolation?: boolean }): Promise<{ code: number, lines: string[] }> {
  const lines: string[] = []
  const code = await proveAll({ seconds: 0, promise: undefined, broken: undefined, ...options }, line => { lines.push(line) })
  return { code, lines }
}

describe('proveAll', () => {
  describe('with all mechanisms', () => {
    it('finds no violation and checks every promise', async () => {
      const { code, lines } = await prove({ runs: 4, seed: 1 })
      expect(lines.filter(line => !line.includes('violations 0') || line.includes('not proved'))).toEqual([])
      expect(lines).toHaveLength(PROMISES.length)
      expect(code).toBe(0)
    })

    it.each([
      ['a deletion sent by a former owner arrives after the reassignment', 'no-freed-or-partial-block', 1043],
      ['a second disk is lost right after the first one is replaced', 'configuration-never-reverts', 9057],
      ['a snapshot replaces a conflicting log and the process restarts', 'configuration-never-reverts', 1061]
    ] as const)('holds when %s', async (_case, promise, seed) => {
      const { lines } = await prove({ runs: 1, seed, promise })
      expect(lines).toHaveLength(1)
      expect(lines[0]).toContain('violations 0')
    })

    it('gives the same run for the same seed', async () => {
      const first = await prove({ runs: 1, seed: 77 })
      const second = await prove({ runs: 1, seed: 77 })
      expect(second.lines).toEqual(first.lines)
    })
  })

  describe('with a disabled mechanism', () => {
    it.each(PROMISES)('detects that %s is violated', async promise => {
      const { code, lines } = await prove({ runs: 20, seed: 1, promise, broken: promise, stopAtFirstViolation: true })
      expect(lines.some(line => line.startsWith(`violation of ${promise}`))).toBe(true)
      expect(code).toBe(1)
    })
  })

  it('reports a promise that was not checked', async () => {
    const { code, lines } = await prove({ runs: 0, seed: 1, promise: 'whole-answers' })
    expect(lines).toEqual(['promise whole-answers: runs 0 events 0 faults 0 violations 0 not proved: no events'])
    expect(code).toBe(1)
  })
})
