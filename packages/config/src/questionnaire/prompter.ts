/** How the questionnaire asks. */

/** A question with a free answer. */
export interface TextPrompt {
  message: string
  /** The answer given before; empty for none. */
  current: string
  /** Returns true, or what is wrong. */
  validate: (answer: string) => true | string
}

/** One of the answers to choose from. */
export interface PromptChoice<T extends string> {
  value: T
  label: string
}

/** A question with given answers. */
export interface ChoicePrompt<T extends string> {
  message: string
  choices: Array<PromptChoice<T>>
  current: T | undefined
}

/** Asks one question at a time. */
export interface Prompter {
  text: (prompt: TextPrompt) => Promise<string>
  choose: <T extends string>(prompt: ChoicePrompt<T>) => Promise<T>
  confirm: (message: string, current: boolean) => Promise<boolean>
  show: (text: string) => void
}
