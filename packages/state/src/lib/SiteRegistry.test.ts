import { describe, expect, it } from 'vitest'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { SiteRegistry } from './SiteRegistry.js'
import { StateMachine } from './StateMachine.js'

function site (version: number): Site {
  return { version, routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
}

const put = (version: number, text: string): { kind: 'put-site', site: Site, source: Uint8Array } =>
  ({ kind: 'put-site', site: site(version), source: Buffer.from(text) })

describe('SiteRegistry', () => {
  it('keeps the highest version and acknowledges lower ones', () => {
    const register = new SiteRegistry()
    register.putSite(put(5, 'five'))
    expect(register.putSite(put(3, 'three'))).toEqual({ result: { kind: 'site-accepted', version: 5 }, hasChanged: false })
    expect(register.put?.site.version).toBe(5)
  })

  it('never replaces the content of the version that it holds', () => {
    const register = new SiteRegistry()
    register.putSite(put(5, 'five'))
    expect(register.putSite(put(5, 'other')).hasChanged).toBe(false)
    expect(Buffer.from(register.put?.source ?? []).toString()).toBe('five')
  })

  it('accepts only higher versions of desired weights', () => {
    const register = new SiteRegistry()
    register.nameWeights({ kind: 'name-weights', model: 'm', version: 3 })
    expect(register.nameWeights({ kind: 'name-weights', model: 'm', version: 2 }).hasChanged).toBe(false)
    expect(register.weights).toEqual([{ model: 'm', version: 3 }])
  })

  it('does not return the right to send orders to the leader of an earlier term', () => {
    const register = new SiteRegistry()
    register.claimOrders({ replicaId: 'b', term: 4 })
    register.claimOrders({ replicaId: 'a', term: 3 })
    expect(register.orderHolder).toEqual({ replicaId: 'b', term: 4 })
  })
})

describe('StateMachine', () => {
  it('restores a site from a snapshot', () => {
    const state = new StateMachine()
    state.apply({ stampedAt: 0, command: put(5, 'five') })
    state.apply({ stampedAt: 0, command: { kind: 'name-weights', model: 'm', version: 2 } })
    const restored = new StateMachine()
    restored.restore(state.image())
    expect(restored.sites.put?.site.version).toBe(5)
    expect(restored.sites.weights).toEqual([{ model: 'm', version: 2 }])
    expect(restored.viewRevision).toBe(state.viewRevision)
  })

  it('increases the view revision only when something changed', () => {
    const state = new StateMachine()
    state.apply({ stampedAt: 0, command: put(5, 'five') })
    state.apply({ stampedAt: 0, command: put(5, 'five') })
    expect(state.viewRevision).toBe(1)
  })
})
