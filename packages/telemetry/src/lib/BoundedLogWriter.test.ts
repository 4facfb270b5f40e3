import { describe, expect, it, vi } from 'vitest'
import { BoundedLogWriter, type ByteSink } from './BoundedLogWriter.js'

describe('BoundedLogWriter', () => {
  it('writes lines in order, in few batches', () => {
    vi.useFakeTimers()
    const written: string[] = []
    const writer = new BoundedLogWriter((bytes, done) => {
      written.push(bytes.toString())
      done(null, bytes.length)
    })
    for (let line = 0; line < 100; line += 1) writer.write(`line ${line}`)
    vi.advanceTimersByTime(100)
    expect(written).toHaveLength(1)
    expect(written[0]?.split('\n')[99]).toBe('line 99')
    vi.useRealTimers()
  })

  it('never waits for a blocked sink, buffers a bounded amount, and later reports dropped lines', () => {
    vi.useFakeTimers()
    let finish: (() => void) | undefined
    const written: string[] = []
    const blocked: ByteSink = (bytes, done) => {
      finish = () => {
        written.push(bytes.toString())
        done(null, bytes.length)
      }
    }
    const writer = new BoundedLogWriter(blocked)
    for (let line = 0; line < 50_000; line += 1) writer.write('x'.repeat(100))
    vi.advanceTimersByTime(1000)
    for (let line = 0; line < 50_000; line += 1) writer.write('y'.repeat(100))
    expect(writer.dropped).toBeGreaterThan(80_000)
    finish?.()
    vi.advanceTimersByTime(1000)
    finish?.()
    expect(written.join('')).toContain('log-lines-dropped')
    vi.useRealTimers()
  })

  it('retries when the sink is full, and loses no lines', () => {
    vi.useFakeTimers()
    let calls = 0
    let text = ''
    const writer = new BoundedLogWriter((bytes, done) => {
      calls += 1
      if (calls === 1) {
        done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0)
        return
      }
      const taken = Math.min(5, bytes.length)
      text += bytes.subarray(0, taken).toString()
      done(null, taken)
    })
    writer.write('first line')
    writer.write('second line')
    vi.advanceTimersByTime(5000)
    expect(text).toBe('first line\nsecond line\n')
    vi.useRealTimers()
  })

  describe('flush', () => {
    it('writes buffered lines, including those added during a write', async () => {
      const written: string[] = []
      let finish: () => void = () => {}
      const writer = new BoundedLogWriter((bytes, done) => {
        finish = () => {
          written.push(bytes.toString())
          done(null, bytes.length)
        }
      })
      writer.write('during')
      const flushed = writer.flush(60_000)
      writer.write('last')
      finish()
      finish()
      await flushed
      expect(written.join('')).toBe('during\nlast\n')
    })

    it('stops waiting at the limit if nobody reads', async () => {
      const writer = new BoundedLogWriter(() => {})
      writer.write('unread')
      await writer.flush(1)
    })
  })

  describe('flushSync', () => {
    const dropped = (count: number): string => `dropped ${count}`

    it('writes buffered lines, and ignores later ones', () => {
      vi.useFakeTimers()
      let text = ''
      const writer = new BoundedLogWriter((bytes, done) => {
        text += `late ${bytes.toString()}`
        done(null, bytes.length)
      }, dropped, bytes => {
        text += bytes.subarray(0, 4).toString()
        return Math.min(4, bytes.length)
      })
      writer.write('first line')
      writer.write('second line')
      writer.flushSync()
      writer.write('third line')
      vi.advanceTimersByTime(1000)
      expect(text).toBe('first line\nsecond line\n')
      vi.useRealTimers()
    })

    it('first writes what a full sink has not accepted, and reports dropped lines', () => {
      vi.useFakeTimers()
      let text = ''
      let calls = 0
      const writer = new BoundedLogWriter((bytes, done) => {
        calls += 1
        if (calls === 1) {
          text += bytes.subarray(0, 5).toString()
          done(null, 5)
          return
        }
        done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0)
      }, dropped, bytes => {
        text += bytes.toString()
        return bytes.length
      })
      writer.write('first line')
      vi.advanceTimersByTime(60)
      writer.write('second line')
      writer.write('x'.repeat(1_000_000))
      writer.flushSync()
      vi.advanceTimersByTime(1000)
      expect(text).toBe('first line\nsecond line\ndropped 1\n')
      vi.useRealTimers()
    })

    it('stops when the sink accepts no bytes', () => {
      let calls = 0
      const writer = new BoundedLogWriter(undefined, dropped, () => {
        calls += 1
        return 0
      })
      writer.write('line')
      writer.flushSync()
      expect(calls).toBe(1)
    })

    it('does not repeat a batch that the thread pool is writing', () => {
      vi.useFakeTimers()
      let text = ''
      const writer = new BoundedLogWriter(() => {}, dropped, bytes => {
        text += bytes.toString()
        return bytes.length
      })
      writer.write('first line')
      vi.advanceTimersByTime(60)
      writer.write('second line')
      writer.flushSync()
      expect(text).toBe('second line\n')
      vi.useRealTimers()
    })
  })
})
