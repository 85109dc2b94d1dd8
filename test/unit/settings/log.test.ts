/** The text of log lines on a stream: order of fields, levels, and lines that were dropped. */
import { expect } from 'chai'
import { Writable } from 'node:stream'
import * as settings from '@egretvalve/settings'

const TIMESTAMP = /"timestamp":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z"/

interface Logged {
  event: settings.LogEvent
  fields?: settings.LogFields
}

/** Returns what a log writes to its stream, with the time-stamps replaced. */
async function logLines (level: settings.LogLevel, logged: readonly Logged[], options: { maxLinesPerS?: number, pauseMs?: number } = {}): Promise<string[]> {
  let text = ''
  const stream = new Writable({ decodeStrings: false, write: (chunk: string, _encoding, callback) => { text += chunk; callback() } })
  const log = settings.createLog('agent', 'node-1', level, { stream, maxLinesPerS: options.maxLinesPerS })
  const timers = new settings.TimerService()
  for (const { event, fields } of logged) {
    if (event === last) await timers.sleep(options.pauseMs ?? 0)
    log.event(event, fields)
  }
  await log.close()
  await timers.sleep(0)
  return text.split('\n').map(line => line.replace(TIMESTAMP, '"timestamp":"T"'))
}

const started: settings.LogEvent = { code: 1, level: settings.LogLevel.Info, message: 'started' }
const failed: settings.LogEvent = { code: 2, level: settings.LogLevel.Error, message: 'failed "badly"' }
const last: settings.LogEvent = { code: 4, level: settings.LogLevel.Info, message: 'last' }
const detail: settings.LogEvent = { code: 3, level: settings.LogLevel.Debug, message: 'detail' }

describe('log lines', () => {
  it('are one JSON object each, with the fields in the order in which the event gives them', async () => {
    const lines = await logLines(settings.LogLevel.Info, [{ event: started, fields: { jobId: 'j1', ageMs: 3, isDue: true, missing: undefined, text: 'a\nb' } }, { event: failed }])
    expect(lines).to.deep.equal([
      '{"timestamp":"T","level":"info","message":"started","event":1,"jobId":"j1","ageMs":3,"isDue":true,"text":"a\\nb","program":"agent","nodeId":"node-1"}',
      '{"timestamp":"T","level":"error","message":"failed \\"badly\\"","event":2,"program":"agent","nodeId":"node-1"}',
      ''
    ])
  })

  it('carry the identity of the process also when a field of an event has its name', async () => {
    expect(await logLines(settings.LogLevel.Info, [{ event: started, fields: { nodeId: 'other' } }])).to.deep.equal([
      '{"timestamp":"T","level":"info","message":"started","event":1,"nodeId":"node-1","program":"agent"}',
      ''
    ])
  })

  for (const [level, expected] of [[settings.LogLevel.Error, 1], [settings.LogLevel.Warn, 1], [settings.LogLevel.Info, 2], [settings.LogLevel.Debug, 3]] as const) {
    it(`of level ${level} and above are written`, async () => {
      expect(await logLines(level, [{ event: started }, { event: failed }, { event: detail }])).to.have.length(expected + 1)
    })
  }

  it('say before the next line how many were dropped', async () => {
    const lines = await logLines(settings.LogLevel.Info, [...Array.from({ length: 12 }, () => ({ event: started })), { event: last }], { maxLinesPerS: 40, pauseMs: 300 })
    expect(lines).to.have.length(13)
    expect(lines.slice(-3)).to.deep.equal([
      '{"timestamp":"T","level":"warn","message":"log lines were dropped","event":14001,"lines":2,"program":"agent","nodeId":"node-1"}',
      '{"timestamp":"T","level":"info","message":"last","event":4,"program":"agent","nodeId":"node-1"}',
      ''
    ])
  })

  it('tell what went wrong with a job also when its other lines are left out', async () => {
    const lines = await logLines(settings.LogLevel.Info, [...Array.from({ length: 9 }, () => ({ event: started, fields: { jobId: 'j1' } })), { event: last, fields: { jobId: 'j2' } }, { event: failed, fields: { jobId: 'j2' } }], { maxLinesPerS: 40 })
    expect(lines.filter(line => line.includes('"j2"'))).to.deep.equal(['{"timestamp":"T","level":"error","message":"failed \\"badly\\"","event":2,"jobId":"j2","program":"agent","nodeId":"node-1"}'])
  })
})
