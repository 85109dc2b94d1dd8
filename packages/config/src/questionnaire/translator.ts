/** Translation of the questionnaire's texts. */
import i18next from 'i18next'
import { UNKNOWN_FIELD_EXPECTS, type ConfigProblem } from '../checks.ts'
import { el } from './locales/el.ts'
import { en, type TextKey } from './locales/en.ts'
import { tr } from './locales/tr.ts'

/** Languages of the questionnaire. */
export enum Language {
  English = 'en',
  Greek = 'el',
  Turkish = 'tr'
}

/** Values interpolated into a text. */
export type TextValues = Readonly<Record<string, string>>

/** Looks up texts in one language. */
export interface Translator {
  language: Language
  translate: (key: TextKey, values?: TextValues) => string
}

/** Creates a translator; a text missing in the language falls back to English. */
export function createTranslator (language: Language): Translator {
  const instance = i18next.createInstance()
  instance.init({
    lng: language,
    fallbackLng: Language.English,
    resources: { en: { translation: en }, el: { translation: el }, tr: { translation: tr } },
    keySeparator: false,
    nsSeparator: false,
    initAsync: false,
    showSupportNotice: false,
    interpolation: { escapeValue: false }
  })
  return { language, translate: (key, values) => instance.t(key, values) }
}

/** Returns the language of a locale such as `el_GR.UTF-8`; English if the locale is undefined or not supported. */
export function resolveLanguage (locale: string | undefined): Language {
  const prefix = (locale ?? '').slice(0, 2).toLowerCase()
  return Object.values(Language).find(language => language === prefix) ?? Language.English
}

/** Formats a problem in the operator's language with the question, the value given and what is valid. */
export function translateProblem (translator: Translator, problem: ConfigProblem): string {
  const id = problem.question.replaceAll(/\[\d+\]/g, '')
  const question = isTextKey(`question.${id}`) ? `${problem.question} (${translator.translate(`question.${id}` as TextKey)})` : problem.question
  return translator.translate('problem', { question, given: problem.given, expects: translateExpects(translator, id, problem) })
}

function translateExpects (translator: Translator, id: string, problem: ConfigProblem): string {
  if (problem.expects === UNKNOWN_FIELD_EXPECTS) return translator.translate('expects.unknownField')
  return isTextKey(`expects.${id}`) ? translator.translate(`expects.${id}` as TextKey) : problem.expects
}

function isTextKey (text: string): text is TextKey {
  return Object.hasOwn(en, text)
}
