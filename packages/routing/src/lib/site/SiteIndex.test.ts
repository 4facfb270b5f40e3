import { describe, expect, it } from 'vitest'
import type { Route, Site } from '@eelgrassmux/schema/site/siteSchema'
import { RouteTable } from './RouteTable.js'
import { SiteIndex } from './SiteIndex.js'

function route (name: string, pathPrefix: string, overrides: Partial<Route> = {}): Route {
  return {
    name,
    host: 'Desk.example',
    pathPrefix,
    kind: 'safe',
    isResumable: false,
    attempts: 1,
    timeoutMs: 1000,
    targetLatencyMs: 100,
    priority: 0,
    isPublic: false,
    keepsPrompts: false,
    longestPauseMs: 0,
    targets: [{ service: 'app', weight: 1 }],
    ...overrides
  }
}

const limits = { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

function site (overrides: Partial<Site> = {}): Site {
  return { version: 1, routes: [], services: [], limits, ...overrides }
}

describe('RouteTable', () => {
  const table = new RouteTable({ routes: [route('root', '/'), route('share', '/share/'), route('deep', '/share/links/')] })

  it.each([
    ['/share/links/7', 'deep'],
    ['/share/links', 'share'],
    ['/share/other/7?page=1', 'share'],
    ['/sharebox/7', 'root'],
    ['/', 'root'],
    ['/?next=/share/links/', 'root']
  ])('leads %s to the longest prefix', (target, name) => {
    expect(table.find('desk.example', target)?.name).toBe(name)
  })

  it('ignores the case of the host and its port', () => {
    expect(table.find('DESK.example:8080', '/share/a')?.name).toBe('share')
  })

  it('knows no route of another host', () => {
    expect(table.find('other.example', '/share/a')).toBeUndefined()
  })

  it('knows no route where no prefix fits', () => {
    expect(new RouteTable({ routes: [route('share', '/share/')] }).find('desk.example', '/sharebox/')).toBeUndefined()
  })
})

describe('SiteIndex', () => {
  describe('split routes', () => {
    const index = new SiteIndex(site())
    const split = route('split', '/', { targets: [{ service: 'a', weight: 90 }, { service: 'none', weight: 0 }, { service: 'b', weight: 10 }] })

    it('follow the weights', () => {
      expect(index.selectService(split, 0)).toBe('a')
      expect(index.selectService(split, 0.89)).toBe('a')
      expect(index.selectService(split, 0.91)).toBe('b')
    })

    it('never lead to a service without weight', () => {
      const drawn = new Set(Array.from({ length: 1000 }, (_, step) => index.selectService(split, step / 1000)))
      expect([...drawn].sort()).toEqual(['a', 'b'])
    })
  })

  describe('keys', () => {
    const index = new SiteIndex(site({ customers: [{ name: 'ward', keys: ['k1', 'k2'], isIsolated: false }] }))

    it('lead to their holder', () => {
      expect(index.customerByKey('k2')?.name).toBe('ward')
      expect(index.customerByKey('k3')).toBeUndefined()
    })

    it('are needed only where the site has customers', () => {
      expect(index.needsKeys).toBe(true)
      expect(new SiteIndex(site()).needsKeys).toBe(false)
    })
  })
})
