import { beforeEach, describe, expect, it } from 'vitest'
import { ResponseAttribution } from './ResponseAttribution.js'

const answer = (requestId: string | undefined): { readonly requestId: string | undefined, readonly isNotExecuted: boolean } => ({ requestId, isNotExecuted: false })
const rejection = (requestId: string | undefined): { readonly requestId: string | undefined, readonly isNotExecuted: boolean } => ({ requestId, isNotExecuted: true })

describe('ResponseAttribution', () => {
  let connection: ResponseAttribution
  beforeEach(() => { connection = new ResponseAttribution() })

  describe('on a new connection', () => {
    it.each([['an answer with the id', answer('a')], ['a rejection with the id', rejection('a')], ['an answer without an id', answer(undefined)], ['a rejection without an id', rejection(undefined)]])('accepts %s', (_, head) => {
      expect(connection.attribute('a', head)).toBeUndefined()
    })

    it('doubts a response with another id', () => {
      expect(connection.attribute('a', rejection('b'))).toContain('b')
    })
  })

  describe('after a rejection', () => {
    beforeEach(() => { connection.attribute('a', rejection('a')) })

    it('does not carry the same request again', () => {
      expect([connection.mayCarry('a'), connection.mayCarry('b')]).toEqual([false, true])
    })

    // Guards against a promise on the ground of a second copy of the rejection.
    it('doubts a second rejection of the same request', () => {
      expect(connection.attribute('a', rejection('a'))).toBeDefined()
    })

    it('accepts the rejection of another request', () => {
      expect(connection.attribute('b', rejection('b'))).toBeUndefined()
    })

    it.each([rejection(undefined), answer(undefined)])('doubts a response without an id (%o)', head => {
      expect(connection.attribute('b', head)).toBeDefined()
    })
  })

  describe('after an answer without an id', () => {
    beforeEach(() => { connection.attribute('a', answer(undefined)) })

    it('accepts a further answer without an id, since the endpoint may not repeat ids', () => {
      expect(connection.attribute('b', answer(undefined))).toBeUndefined()
    })

    it('doubts a rejection without an id', () => {
      expect(connection.attribute('b', rejection(undefined))).toBeDefined()
    })
  })

  it('is full after 64 rejected requests', () => {
    for (let number = 0; number < 63; number += 1) connection.attribute(`r${number}`, rejection(`r${number}`))
    expect(connection.isFull).toBe(false)
    connection.attribute('last', rejection('last'))
    expect(connection.isFull).toBe(true)
  })
})
