import { setImmediate as nextTurn } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import { RelayHosts } from './RelayHosts.js'

describe('RelayHosts', () => {
  // Guards against requests that are lost one after another at an unresponsive host, until the control hosts detect it.
  it('sends few requests to a host that leaves them unanswered', async () => {
    const hosts = new RelayHosts({ open: async () => ({ ticket: 't', hosts: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'] }), holderOf: async () => '' })
    await new Promise<void>(resolve => { hosts.prepare(resolve) })
    let unanswered = 0
    for (let number = 0; number < 60; number += 1) {
      const relay = hosts.acquire(new Set(), performance.now())
      if (relay?.host === '127.0.0.1:1') unanswered += 1
      else relay?.release()
      await nextTurn()
    }
    expect(unanswered).toBeLessThanOrEqual(1)
    hosts.close()
  })
})
