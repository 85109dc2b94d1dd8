/** The head key: an upper bound of every team's version, so that a starting node reads only the records that it lacks. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import * as zod from 'zod'

/** Key of the head. */
export const HEAD_KEY = 'config/head'

const headSchema = zod.object({ versions: zod.record(zod.string(), zod.number().int().positive()) })

/** The highest version that each team may have. It is raised before the team's record is written. */
export type ConfigHead = zod.infer<typeof headSchema>

/** Reads the stored head; an absent key gives an empty head. */
export function parseHead (text: string): results.Result<ConfigHead, protocol.StepError> {
  if (text === '') return results.Ok({ versions: {} })
  try {
    return results.Ok(headSchema.parse(JSON.parse(text)))
  } catch (thrown) {
    return results.Err(new protocol.StepError(protocol.ErrorCode.InvalidInput, 'config.parseHead', HEAD_KEY, String(thrown)))
  }
}

/** Returns the head with a team's bound raised; it never goes down. */
export function raiseHead (head: ConfigHead, team: string, version: number): ConfigHead {
  const bound = Math.max(version, head.versions[team] ?? 0)
  return { versions: { ...head.versions, [team]: bound } }
}
