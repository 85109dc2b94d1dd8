import { expect } from 'chai'
import * as fastCheck from 'fast-check'
import * as zod from 'zod'
import * as fleets from '../../fixtures/fleet.ts'

interface Description {
  openapi: string
  paths: Record<string, Record<string, { responses: Record<string, unknown> }>>
  components: { schemas: Record<string, Parameters<typeof zod.fromJSONSchema>[0]> }
}

/** Boundary values of the fields, valid and invalid. */
const fieldValue = fastCheck.constantFrom<unknown>('shop', 'a b', '', 0, 1, -1, 1.5, true, null, [], {}, { slots: 1 }, { slots: 0 }, '/x', 'pressing', [{ body: 'x' }], [{ bodyBase64: '*' }], [{}])
const fieldNames = ['team', 'submissionId', 'service', 'class', 'repeatable', 'deadlineMs', 'wanted', 'path', 'contentType', 'tasks', 'bodies'] as const

describe('OpenAPI description', () => {
  let fleet: fleets.Fleet
  let description: Description

  before(async () => {
    fleet = await fleets.startFleet()
    description = (await fleets.get<Description>(fleet, '/v1/openapi.json')).value
  })

  after(async () => { await fleet.stop() })

  it('lists every route of the caller API', () => {
    const listed = Object.entries(description.paths).flatMap(([path, methods]) => Object.keys(methods).map(method => `${method} ${path}`))
    expect(description.openapi).to.equal('3.1.0')
    expect(listed).to.deep.equal([
      'post /v1/jobs', 'post /v1/requests', 'get /v1/jobs/{team}/{submissionId}', 'delete /v1/jobs/{team}/{submissionId}',
      'get /v1/jobs/{team}/{submissionId}/answer', 'get /healthz', 'get /readyz'
    ])
  })

  it('validates request bodies exactly as the entry does', async () => {
    const schema = zod.fromJSONSchema(description.components.schemas.Job!)
    let next = 0
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.constantFrom(...fieldNames), fieldValue, async (name, value) => {
      const job = fleets.createJob({ submissionId: `edge-${next++}`, [name]: value })
      const answer = await fleets.submit(fleet, job, 0)
      expect(answer.status !== 400, JSON.stringify(job)).to.equal(schema.safeParse(job).success)
    }), { seed: 11, numRuns: 200 })
  })

  it('validates the answers and errors that the entry returns', async () => {
    const answerSchema = zod.fromJSONSchema(description.components.schemas.Answer!)
    const errorSchema = zod.fromJSONSchema(description.components.schemas.Error!)
    fleet.backends.forEach(backend => backend.setFaults({ failAll: true }))
    const failed = await fleets.submit(fleet, fleets.createJob({ submissionId: 'failed' }))
    fleet.backends.forEach(backend => backend.setFaults({ failAll: false }))
    const complete = await fleets.submit(fleet, fleets.createJob({ submissionId: 'complete' }))
    const unplaceable = await fleets.submit(fleet, fleets.createJob({ submissionId: 'large', service: 'nowhere', deadlineMs: 50 }))
    const pending = await fleets.submit(fleet, fleets.createJob({ submissionId: 'pending', tasks: [{ body: '{"runMs":200}' }] }), 0)
    expect([failed.value.kind, complete.value.kind, pending.value.kind]).to.deep.equal(['failed', 'complete', 'pending'])
    for (const answer of [failed, complete, unplaceable, pending]) expect(answerSchema.safeParse(answer.value).error).to.equal(undefined)
    const missing = await fleets.get(fleet, '/v1/jobs/shop/never')
    expect(missing.status).to.equal(404)
    expect(errorSchema.safeParse(missing.value).error).to.equal(undefined)
  })
})
