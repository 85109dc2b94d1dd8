import { expect } from 'chai'
import * as settings from '@egretvalve/settings'

describe('Instruments', () => {
  it('formats metrics sorted by name, with cumulative buckets', () => {
    const instruments = new settings.Instruments()
    instruments.addSource(() => ({ jobsAccepted: 3, jobsOpen: 1 }))
    for (const durationMs of [4, 40, 400, 40_000]) instruments.observe('jobSucceededMs', durationMs)
    expect(instruments.format()).to.equal([
      '# TYPE egretvalve_job_succeeded_ms histogram',
      ...[[5, 1], [10, 1], [25, 1], [50, 2], [100, 2], [250, 2], [500, 3], [1_000, 3], [2_500, 3], [5_000, 3], [10_000, 3]].map(([bound, count]) => `egretvalve_job_succeeded_ms_bucket{le="${bound}"} ${count}`),
      'egretvalve_job_succeeded_ms_bucket{le="+Inf"} 4',
      'egretvalve_job_succeeded_ms_sum 40444',
      'egretvalve_job_succeeded_ms_count 4',
      '# TYPE egretvalve_jobs_accepted gauge',
      'egretvalve_jobs_accepted 3',
      '# TYPE egretvalve_jobs_open gauge',
      'egretvalve_jobs_open 1',
      ''
    ].join('\n'))
  })
})
