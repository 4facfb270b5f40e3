import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { readTextLines, type TextLine } from './readTextLines.js'

describe('readTextLines', () => {
  let folder = ''
  beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'lines-')) })
  afterEach(async () => { await rm(folder, { recursive: true }) })

  async function read (content: string): Promise<TextLine[]> {
    const path = join(folder, 'file')
    await writeFile(path, content)
    const lines: TextLine[] = []
    for await (const line of readTextLines(path)) lines.push(line)
    return lines
  }

  it('numbers all lines, including empty ones and a last line without a terminator', async () => {
    expect(await read('a\n\nb')).toEqual([{ number: 1, text: 'a' }, { number: 2, text: '' }, { number: 3, text: 'b' }])
    expect(await read('a\n')).toEqual([{ number: 1, text: 'a' }])
    expect(await read('')).toEqual([])
  })

  it('joins lines that span several chunks, with multi-byte characters', async () => {
    const texts = Array.from({ length: 5000 }, (_, number) => `${number} ${'ö€'.repeat(number % 50)}`)
    expect((await read(texts.join('\n'))).map(({ text }) => text)).toEqual(texts)
  })

  it('truncates an overlong line and numbers the lines after it correctly', async () => {
    const lines = await read(`a\n${'x'.repeat(3_000_000)}\nb`)
    expect(lines.map(({ number, text }) => [number, text.slice(0, 1)])).toEqual([[1, 'a'], [2, 'x'], [3, 'b']])
    expect(lines[1]?.text.length).toBeLessThan(300_000)
  })
})
