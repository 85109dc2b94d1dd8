/** Interface through which the questionnaire prompts the operator. */

/** A question with a free-text answer. */
export interface TextPrompt {
  message: string
  /** Earlier answer, offered as the default; empty if there is none. */
  current: string
  /** Returns true if the answer is valid, otherwise the error text. */
  validate: (answer: string) => true | string
}

/** One option of a choice. */
export interface PromptChoice<T extends string> {
  value: T
  label: string
}

/** A question answered by choosing one of several options. */
export interface ChoicePrompt<T extends string> {
  message: string
  choices: Array<PromptChoice<T>>
  current: T | undefined
}

/** Prompts for one answer at a time. */
export interface Prompter {
  text: (prompt: TextPrompt) => Promise<string>
  choose: <T extends string>(prompt: ChoicePrompt<T>) => Promise<T>
  confirm: (message: string, current: boolean) => Promise<boolean>
  show: (text: string) => void
}
