/** Head of the configuration: an upper bound of every team's version under one key, so that a starting node reads only the records that it lacks. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import * as zod from 'zod'

/** Store key of the head. */
export const HEAD_KEY = 'config/head'

const headSchema = zod.object({ versions: zod.record(zod.string(), zod.number().int().positive()) })

/** Highest version that each team may have. A bound is raised before the team's record is written. */
export type ConfigHead = zod.infer<typeof headSchema>

/** Parses the stored head; an empty text stands for an absent key and gives an empty head. Fails with `InvalidInput`. */
export function parseHead (text: string): results.Result<ConfigHead, protocol.StepError> {
  if (text === '') return results.Ok({ versions: {} })
  try {
    return results.Ok(headSchema.parse(JSON.parse(text)))
  } catch (thrown) {
    return results.Err(new protocol.StepError(protocol.ErrorCode.InvalidInput, 'config.parseHead', HEAD_KEY, String(thrown)))
  }
}

/** Returns the head with a team's bound raised to the version; a higher bound stays. */
export function raiseHead (head: ConfigHead, team: string, version: number): ConfigHead {
  const bound = Math.max(version, head.versions[team] ?? 0)
  return { versions: { ...head.versions, [team]: bound } }
}
