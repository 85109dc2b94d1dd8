/** Prompter for a terminal. */
import * as inquirer from '@inquirer/prompts'
import type { ChoicePrompt, Prompter, TextPrompt } from './prompter.ts'

/** Input and output of a terminal. */
export interface TerminalStreams {
  input: NodeJS.ReadableStream
  output: NodeJS.WritableStream
}

/** Creates a prompter for a terminal. Its promises reject when the operator presses Ctrl+C. */
export function createTerminalPrompter (streams: TerminalStreams): Prompter {
  return {
    text: async (prompt: TextPrompt) => {
      const config = { message: prompt.message, validate: prompt.validate }
      return await inquirer.input(prompt.current === '' ? config : { ...config, default: prompt.current, prefill: 'editable' }, streams)
    },
    choose: async <T extends string>(prompt: ChoicePrompt<T>) => {
      const choices = prompt.choices.map(choice => ({ value: choice.value, name: choice.label }))
      const config = { message: prompt.message, choices }
      return await inquirer.select<T>(prompt.current === undefined ? config : { ...config, default: prompt.current }, streams)
    },
    confirm: async (message, current) => await inquirer.confirm({ message, default: current }, streams),
    show: text => { streams.output.write(`${text}\n`) }
  }
}
