/** Single questions of the questionnaire, validated with the same schemas as an answers file. */
import type * as zod from 'zod'
import { answersSchema } from '../answers.ts'
import type { TextKey } from './locales/en.ts'
import type { PromptChoice, Prompter } from './prompter.ts'
import { translateProblem, type Translator } from './translator.ts'

const region = answersSchema.shape.regions.element
const service = answersSchema.shape.services.element
const request = service.shape.requests.element

/** Schemas of single answers, by question. */
export const fieldSchemas = {
  team: answersSchema.shape.team,
  displayName: answersSchema.shape.displayName,
  reservedPercent: answersSchema.shape.reservedPercent,
  'regions.name': region.shape.name,
  'regions.failureDomains': region.shape.failureDomains,
  'services.name': service.shape.name,
  'services.slots': service.shape.slots,
  'services.connections': service.shape.connections,
  'services.cores': service.shape.cores,
  'services.memoryMb': service.shape.memoryMb,
  'services.accelerators': service.shape.accelerators,
  'services.longestRunMs': service.shape.longestRunMs,
  'services.requests.name': request.shape.name,
  'services.requests.path': request.shape.path,
  'services.requests.usualRunMs': request.shape.usualRunMs,
  'services.requests.answerWithinMs': request.shape.answerWithinMs
} as const

/** Questions with a free answer. */
export type FieldId = keyof typeof fieldSchemas

/** Asks single questions in the operator's language, and repeats a question until the answer is valid. */
export class FieldAsker {
  constructor (readonly prompter: Prompter, readonly translator: Translator) {}

  async text (field: FieldId, current: string | undefined): Promise<string> {
    return await this.ask(field, current ?? '', answer => answer.trim())
  }

  async number (field: FieldId, current: number | undefined): Promise<number> {
    return await this.ask(field, current === undefined ? '' : String(current), parseNumber)
  }

  async names (field: FieldId, current: readonly string[] | undefined): Promise<string[]> {
    return await this.ask(field, (current ?? []).join(', '), parseNames)
  }

  async yesOrNo (question: TextKey, current: boolean | undefined): Promise<boolean> {
    return await this.prompter.confirm(this.translator.translate(question), current ?? false)
  }

  async choose<T extends string> (question: TextKey, choices: Array<PromptChoice<T>>, current: T | undefined): Promise<T> {
    return await this.prompter.choose({ message: this.translator.translate(question), choices, current })
  }

  private async ask<T> (field: FieldId, current: string, parse: (answer: string) => T): Promise<T> {
    const message = this.translator.translate(`question.${field}`)
    const validate = (answer: string): true | string => this.check(field, parse(answer), answer)
    return parse(await this.prompter.text({ message, current, validate }))
  }

  private check (field: FieldId, value: unknown, given: string): true | string {
    const schema: zod.ZodType = fieldSchemas[field]
    if (schema.safeParse(value).success) return true
    return translateProblem(this.translator, { question: field, given: JSON.stringify(given), expects: '' })
  }
}

function parseNumber (answer: string): number {
  return answer.trim() === '' ? Number.NaN : Number(answer.trim())
}

function parseNames (answer: string): string[] {
  return answer.split(',').map(name => name.trim()).filter(name => name !== '')
}
