import { describe, expect, it } from 'vitest'
import { LinkTable } from './LinkTable.js'

function links (): LinkTable {
  const table = new LinkTable()
  table.configure('s', 1_000_000)
  return table
}

describe('LinkTable', () => {
  it('starts from the configured speed', () => {
    expect(links().views(0).get('s')).toEqual({ bytesPerMs: 1000, backlogBytes: 0 })
  })

  it('learns that a link has slowed down within a few transfers', () => {
    const table = links()
    for (let turn = 1; turn <= 6; turn += 1) table.recordTransferEnd('s', 100_000, 1000, turn * 1000)
    expect(table.views(6000).get('s')?.bytesPerMs).toBeLessThan(150)
  })

  it('does not take a transfer that shared the link for a slow link', () => {
    const table = links()
    for (let turn = 0; turn < 6; turn += 1) table.recordTransferEnd('s', 100_000, turn === 2 ? 110 : 900, turn)
    expect(table.views(6).get('s')?.bytesPerMs).toBeGreaterThan(900)
  })

  it('tries a link again after a while without transfers', () => {
    const table = links()
    for (let turn = 0; turn < 6; turn += 1) table.recordTransferEnd('s', 100_000, 1000, 0)
    const before = table.views(1000).get('s')?.bytesPerMs ?? 0
    expect(table.views(2000).get('s')?.bytesPerMs).toBeGreaterThan(5 * before)
  })

  it('counts own transfers until the store reports them, and lets a report drain', () => {
    const table = links()
    table.recordTransferStart('s', 5000)
    expect(table.views(0).get('s')?.backlogBytes).toBe(5000)
    table.observeBacklog('s', 8000, 10)
    expect(table.views(10).get('s')?.backlogBytes).toBe(8000)
    expect(table.views(13).get('s')?.backlogBytes).toBe(5000)
  })
})
