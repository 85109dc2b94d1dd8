/** Example answers, one set per example deployment. */
import { parseAnswersYaml, type Answers } from './answers.ts'
import { generateDocument } from './generate.ts'
import { exampleAnswerTexts } from './generated/examples.ts'
import type { TeamDocument } from './document.ts'

/** Names of the examples. */
export enum ExampleName {
  Xylotechne = 'xylotechne',
  Rozet = 'rozet'
}

/** Returns the answers of an example as YAML text. */
export function readExampleText (name: ExampleName): string {
  return exampleAnswerTexts[name]
}

/** Returns the parsed answers of an example. */
export function readExampleAnswers (name: ExampleName): Answers {
  return parseAnswersYaml(readExampleText(name)).unwrap()
}

/** Returns the document generated from an example. */
export function createExampleDocument (name: ExampleName): TeamDocument {
  return generateDocument(readExampleAnswers(name))
}
