import { describe, expect, it } from 'vitest'
import { RelayTickets } from './RelayTickets.js'

describe('RelayTickets', () => {
  let created = 0
  const create = (): RelayTickets => new RelayTickets(() => {
    created += 1
    return `t${created}`
  })

  it('knows the holder of a ticket until some time after its last question', () => {
    const tickets = create()
    const ticket = tickets.open('a', 0)
    expect(tickets.open('a', 1000)).toBe(ticket)
    expect(tickets.holderOf(ticket, 16_000)).toBe('a')
    expect(tickets.holderOf(ticket, 16_001)).toBeUndefined()
    expect(tickets.holderOf('forged', 1000)).toBeUndefined()
  })

  // Guards against chains and loops of hosts that are partitioned together.
  it('names neither the host that asks nor others that are cut off', () => {
    const tickets = create()
    tickets.open('a', 0)
    tickets.open('b', 0)
    expect(tickets.candidates(['a', 'b', 'c', 'd'], 'a', 8, 100, () => 0.5).sort()).toEqual(['c', 'd'])
    expect(tickets.candidates(['a', 'b', 'c', 'd'], 'c', 8, 2501, () => 0.5).sort()).toEqual(['a', 'b', 'd'])
    expect(tickets.candidates(['a', 'b', 'c', 'd'], 'c', 2, 2501, () => 0.5).length).toBe(2)
  })
})
