import { describe, expect, it } from 'vitest'
import { FINGERPRINT_DIGITS, requestFingerprint, type RequestIdentity } from './requestFingerprint.js'

const request: RequestIdentity = { customer: 'ward', method: 'POST', target: '/a/b?x=1', body: Buffer.from('body') }

describe('requestFingerprint', () => {
  it('is the same for the same request', () => {
    expect(requestFingerprint(request)).toBe(requestFingerprint({ ...request, body: Buffer.from('body') }))
    expect(requestFingerprint(request)).toMatch(new RegExp(`^[0-9a-f]{${FINGERPRINT_DIGITS}}$`))
  })

  it.each<Partial<RequestIdentity>>([
    { customer: 'clinic' }, { customer: undefined }, { method: 'PUT' }, { target: '/a/b' }, { body: Buffer.from('Body') }, { body: undefined }
  ])('differs if any part that the caller sent differs (%j)', change => {
    expect(requestFingerprint({ ...request, ...change })).not.toBe(requestFingerprint(request))
  })

  it('keeps the boundaries between its parts', () => {
    const first = requestFingerprint({ customer: 'a', method: 'GET', target: '/b"]c', body: undefined })
    expect(requestFingerprint({ customer: 'a', method: 'GET', target: '/b', body: Buffer.from('"]c') })).not.toBe(first)
    expect(requestFingerprint({ customer: 'null', method: 'GET', target: '/', body: undefined })).not.toBe(requestFingerprint({ customer: undefined, method: 'GET', target: '/', body: undefined }))
  })
})
