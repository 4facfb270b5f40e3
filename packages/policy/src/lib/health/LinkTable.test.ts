import { describe, expect, it } from 'vitest'
import { LinkTable } from './LinkTable.js'

function createTable (): LinkTable {
  const table = new LinkTable()
  table.configure('s', 1_000_000)
  return table
}

describe('LinkTable', () => {
  it('starts with the configured speed', () => {
    expect(createTable().views(0).get('s')).toEqual({ bytesPerMs: 1000, backlogBytes: 0 })
  })

  it('detects within a few transfers that a link has slowed down', () => {
    const table = createTable()
    for (let turn = 1; turn <= 6; turn += 1) table.recordTransferEnd('s', 100_000, 1000, turn * 1000)
    expect(table.views(6000).get('s')?.bytesPerMs).toBeLessThan(150)
  })

  it('does not lower the speed for transfers that shared the link', () => {
    const table = createTable()
    for (let turn = 0; turn < 6; turn += 1) table.recordTransferEnd('s', 100_000, turn === 2 ? 110 : 900, turn)
    expect(table.views(6).get('s')?.bytesPerMs).toBeGreaterThan(900)
  })

  it('raises the estimate of a slow link after a time without transfers', () => {
    const table = createTable()
    for (let turn = 0; turn < 6; turn += 1) table.recordTransferEnd('s', 100_000, 1000, 0)
    const before = table.views(1000).get('s')?.bytesPerMs ?? 0
    expect(table.views(2000).get('s')?.bytesPerMs).toBeGreaterThan(5 * before)
  })

  it('counts local transfers until the store reports its backlog, and drains a reported backlog over time', () => {
    const table = createTable()
    table.recordTransferStart('s', 5000)
    expect(table.views(0).get('s')?.backlogBytes).toBe(5000)
    table.observeBacklog('s', 8000, 10)
    expect(table.views(10).get('s')?.backlogBytes).toBe(8000)
    expect(table.views(13).get('s')?.backlogBytes).toBe(5000)
  })
})
