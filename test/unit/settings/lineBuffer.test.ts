/** Buffered log lines are written whole, in writes that are atomic on a pipe. */
import { expect } from 'chai'
import { Writable } from 'node:stream'
import { LineBuffer } from '../../../packages/settings/src/lineBuffer.ts'

const PIPE_BUF_BYTES = 4_096

describe('LineBuffer', () => {
  it('writes whole lines, each write at most as long as a pipe takes at once', () => {
    const writes: string[] = []
    const target = new Writable({ decodeStrings: false, write: (chunk: string, _encoding, callback) => { writes.push(chunk); callback() } })
    const buffer = new LineBuffer(target)
    const lines = Array.from({ length: 200 }, (_, number) => `${'x'.repeat(number)}\n`)
    for (const line of lines) buffer.write(line)
    buffer.flush()
    expect(writes.join('')).to.equal(lines.join(''))
    expect(writes.filter(text => !text.endsWith('\n') || text.length > PIPE_BUF_BYTES)).to.deep.equal([])
  })

  it('writes a line that is longer than that by itself', () => {
    const writes: string[] = []
    const buffer = new LineBuffer(new Writable({ decodeStrings: false, write: (chunk: string, _encoding, callback) => { writes.push(chunk); callback() } }))
    buffer.write('short\n')
    buffer.write(`${'y'.repeat(2 * PIPE_BUF_BYTES)}\n`)
    buffer.flush()
    expect(writes.map(text => text.length)).to.deep.equal([6, 2 * PIPE_BUF_BYTES + 1])
  })
})
