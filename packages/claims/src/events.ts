/** Log events of claims. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  JobHeld: { code: 15001, level: Warn, message: 'job waits: another entry may still run it' },
  JobSucceededElsewhere: { code: 15002, level: Info, message: 'job has succeeded at another entry; it does not run again' },
  ClaimLost: { code: 15003, level: Warn, message: 'job ended: another entry has claimed it' },
  RegistrarSilent: { code: 15004, level: Warn, message: 'entry does not answer claims; others take its place' },
  ClaimsUnconfirmed: { code: 15005, level: Warn, message: 'no other entry confirms claims; jobs wait and the entry is not ready' },
  ClaimsConfirmed: { code: 15006, level: Info, message: 'claims can be confirmed again' }
})
