import { readFile } from 'node:fs/promises'
import { describe, expect, it } from 'vitest'
import { parseConfiguration } from './parseConfiguration.js'

const MODEL = 'kind: model\nname: base\nversion: v1\nservingFloor: 0\n'

describe('parseConfiguration', () => {
  it.each(['tmts', 'lscsa'])('accepts the example of %s', async name => {
    const text = await readFile(new URL(`../../../../examples/${name}.yaml`, import.meta.url), 'utf8')
    const parsed = parseConfiguration(text)
    expect(parsed.ok ? [] : parsed.error).toEqual([])
  })

  it.each([
    ['an unknown kind', `${MODEL}---\nkind: modle\nname: x\n`, { line: 6, field: 'kind' }],
    ['a value out of range', 'kind: model\nname: base\nversion: v1\nservingFloor: -1\n', { line: 4, field: 'servingFloor' }],
    ['a missing field', 'kind: model\nname: base\nservingFloor: 0\n', { field: 'version' }],
    ['an unknown field', `${MODEL}colour: red\n`, { message: 'Unrecognized key: "colour"' }],
    ['an address with a host name', 'kind: store\nname: s\naddress: store:1\ndataCentre: a\nlinkBytesPerSecond: 1\n', { line: 3, field: 'address' }],
    ['a name defined twice', `${MODEL}---\n${MODEL}`, { line: 6, field: 'name', message: 'model/base is defined twice' }],
    ['a dangling reference', `${MODEL}---\nkind: service\ntype: model\nname: s\nmodel: base\nprofile: none\n`, { line: 6, field: 'profile', message: 'profile/none is not defined' }],
    ['text that is not YAML', 'kind: [model\n', { field: '' }]
  ])('reports the position of %s', (_name, text, expected) => {
    const parsed = parseConfiguration(text)
    expect(parsed.ok).toBe(false)
    if (!parsed.ok) expect(parsed.error[0]).toMatchObject(expected)
  })

  it('refuses two customers with one credential', () => {
    const customer = (name: string): string =>
      `kind: customer\nname: ${name}\ncredentialSha256: ${'a'.repeat(64)}\ncacheSecret: sixteen-characters\nshare: 1\n`
    const parsed = parseConfiguration(`${customer('a')}---\n${customer('b')}`)
    expect(parsed).toMatchObject({ ok: false, error: [{ field: 'credentialSha256', message: 'customer a has the same credential' }] })
  })
})
