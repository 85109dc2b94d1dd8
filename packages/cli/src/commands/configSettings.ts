/** Settings of the commands that call the administration API. */
import * as settings from '@egretvalve/settings'
import * as zod from 'zod'
import type { ClientOptions } from './configClient.ts'

/** Settings common to all client commands. */
export interface ClientSettings extends ClientOptions {
  json: boolean
}

export interface ConfigSettings extends ClientSettings {
  document: string
  answers: string
  seenVersion: number
  toVersion: number
  changeId: string
}

/** Placeholder for a version setting that was not given. */
export const VERSION_NOT_GIVEN = -1

function version (help: string): settings.SettingDefinition<number> {
  const schema = zod.string().regex(/^\d{0,9}$/).transform(text => text === '' ? VERSION_NOT_GIVEN : Number(text))
  return { schema, defaultText: '', help, expects: 'the number of a version' }
}

export const clientDefinition: settings.SettingsDefinition<ClientSettings> = {
  api: settings.address('HTTP address of any entry.', '127.0.0.1:7000'),
  token: settings.text('Access token; better given by the environment variable.', 'the token that egretvalve token printed', ''),
  tlsCaFile: settings.text('Certificate authority of the entries; empty talks plain text.', 'the path of a PEM file', ''),
  json: settings.flag('Prints the API\'s JSON.')
}

export const configDefinition: settings.SettingsDefinition<ConfigSettings> = {
  ...clientDefinition,
  document: settings.text('Document to apply or compare.', 'the path of a JSON or YAML file', ''),
  answers: settings.text('Answers whose document is applied or compared.', 'the path of a YAML file', ''),
  seenVersion: version('Version that the change starts from; 0 for a new team.'),
  toVersion: version('Version to go back to or to show.'),
  changeId: settings.text('Id of the change; repeat a change of unknown outcome with the same id.', 'a text', '')
}
