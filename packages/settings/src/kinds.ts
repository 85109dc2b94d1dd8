/** Factories for common setting types. The bounds of numbers are inclusive. */
import * as zod from 'zod'
import type { SettingDefinition } from './schema.ts'

const MAX_PORT = 65_535

function isAddress (text: string): boolean {
  const match = /^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/.exec(text)
  return match !== null && Number(match[1]) <= MAX_PORT
}

export function wholeNumber (help: string, unit: string, lowest: number, highest: number, defaultText?: string): SettingDefinition<number> {
  const schema = zod.string().regex(/^\d+$/).transform(Number).pipe(zod.number().min(lowest).max(highest))
  return { schema, defaultText, help, expects: `a whole number of ${unit} from ${lowest} to ${highest}` }
}

/** A non-negative number in decimal notation. */
export function decimalNumber (help: string, unit: string, lowest: number, highest: number, defaultText?: string): SettingDefinition<number> {
  const schema = zod.string().regex(/^\d+(\.\d+)?$/).transform(Number).pipe(zod.number().min(lowest).max(highest))
  return { schema, defaultText, help, expects: `a number of ${unit} from ${lowest} to ${highest}` }
}

/** A text. An empty value is valid only if the default is empty. */
export function text (help: string, expects: string, defaultText?: string): SettingDefinition<string> {
  const schema = defaultText === '' ? zod.string() : zod.string().min(1)
  return { schema, defaultText, help, expects }
}

/** One of the values of an enum. */
export function choice<T extends string> (help: string, values: Readonly<Record<string, T>>, defaultText?: T): SettingDefinition<T> {
  const schema = zod.enum(values as Record<string, T>) as unknown as zod.ZodType<T>
  return { schema, defaultText, help, expects: `one of ${Object.values(values).join(', ')}` }
}

/** An IPv4 address with a port. */
export function address (help: string, defaultText?: string): SettingDefinition<string> {
  const schema = zod.string().refine(isAddress)
  return { schema, defaultText, help, expects: 'an IPv4 address and port such as 127.0.0.1:7000' }
}

/** A comma-separated list of IPv4 addresses with ports. */
export function addressList (help: string, defaultText?: string): SettingDefinition<string[]> {
  const schema = zod.string()
    .transform(value => value.split(',').filter(part => part !== ''))
    .pipe(zod.array(zod.string().refine(isAddress)))
  return { schema, defaultText, help, expects: 'IPv4 addresses and ports separated by commas' }
}

/** A boolean flag without a value; false by default. */
export function flag (help: string): SettingDefinition<boolean> {
  const schema = zod.enum(['true', 'false']).transform(value => value === 'true')
  return { schema, defaultText: 'false', help, expects: 'true or false', isSwitch: true }
}
