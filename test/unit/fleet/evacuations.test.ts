/** The state of evacuated failure domains that nodes exchange. */
import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'

describe('the evacuated failure domains', () => {
  it('follow the highest revision, and tell listeners only of other domains', () => {
    const evacuations = new fleet.Evacuations()
    const told: string[] = []
    evacuations.subscribe(source => { told.push(`${source}: ${evacuations.failureDomains.join()}`) })
    evacuations.offer({ revision: 5, failureDomains: ['b', 'a', 'b'] }, 'store')
    evacuations.offer({ revision: 4, failureDomains: [] }, 'agent late')
    evacuations.offer({ revision: 9, failureDomains: ['a', 'b'] }, 'store')
    evacuations.offer({ revision: 8, failureDomains: [] }, 'entry late')
    expect([evacuations.revision, evacuations.has('a'), evacuations.has('c')]).to.deep.equal([9, true, false])
    evacuations.offer({ revision: 10, failureDomains: [] }, 'entry e')
    expect(told).to.deep.equal(['store: a,b', 'entry e: '])
  })

  // Guards against an evacuation that is recorded but never applied.
  it('tell listeners of a change between names that contain commas', () => {
    const evacuations = new fleet.Evacuations()
    const told: string[][] = []
    evacuations.subscribe(() => { told.push([...evacuations.failureDomains]) })
    evacuations.offer({ revision: 1, failureDomains: ['a,b'] }, 'store')
    evacuations.offer({ revision: 2, failureDomains: ['a', 'b'] }, 'store')
    expect(told).to.deep.equal([['a,b'], ['a', 'b']])
  })

  // Guards against one corrupt message whose revision hides every later change, or whose list fills the memory.
  it('are not taken from messages that no store can have produced', () => {
    const refused = [undefined, {}, { revision: Number.MAX_VALUE }, { revision: 1.5 }, { revision: -1 }, { revision: 3, failureDomains: ['x'.repeat(201)] }, { revision: 3, failureDomains: Array(65).fill('a') }]
    expect(refused.map(message => fleet.decodeEvacuations(message))).to.deep.equal(refused.map(() => undefined))
    expect(fleet.decodeEvacuations({ revision: 3, failureDomains: ['a'] })).to.deep.equal({ revision: 3, failureDomains: ['a'] })
  })
})
