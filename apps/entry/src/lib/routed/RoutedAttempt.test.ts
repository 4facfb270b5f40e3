import { describe, expect, it } from 'vitest'
import { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { EMPTY_PREFILL_PLAN } from '@eelgrassmux/routing/endpoints/prefillPlan'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndpointConnections } from './EndpointConnections.js'
import { PlainCodec } from './harness/PlainCodec.js'
import { RoutedAttempt } from './RoutedAttempt.js'
import { RoutedFleet } from './RoutedFleet.js'

describe('RoutedAttempt', () => {
  // Guards against streams that stay counted at an endpoint after they have ended, which would repel prompts for good.
  it('counts a stream with a limited pause until it ends, once', () => {
    const endpoint = new EndpointState({ id: 'e', service: 'pool', address: '127.0.0.1:1', dataCentre: 'north', slots: 8, isLeaving: false, isBusy: false, models: [] })
    const connections = new EndpointConnections('127.0.0.1:1', () => {})
    const connection = connections.acquire(1)
    if (connection === undefined) throw new Error('a connection is needed')
    const ignore = { sending: () => true, head: () => {}, data: () => true, complete: () => {}, failed: () => {}, unread: () => () => {} }
    const choice = { endpoint, version: undefined, prefill: EMPTY_PREFILL_PLAN, tokensHeld: 0, estimatedMs: 0, costMs: 0, waitMs: 0, memoryWaitMs: 0, workMs: 0, load: { tokensToRead: 0, tokensAhead: 0, requests: 0 }, memoryShare: 0 }
    const attempt = new RoutedAttempt(choice, 'r', connections, connection, new RoutedFleet('north', () => 1, new Telemetry('test')), new PlainCodec(), ignore)
    attempt.beginStream(300)
    attempt.beginStream(300)
    expect(endpoint.runningStreams.limits).toEqual({ streams: 1, shortestPauseMs: 300 })
    attempt.cancel()
    attempt.beginStream(300)
    expect(endpoint.runningStreams.limits.streams).toBe(0)
  })
})
