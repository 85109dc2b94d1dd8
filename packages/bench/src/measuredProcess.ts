/** Starts the processes under measurement. Only the load tool starts processes; the product's own never do. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import * as sea from 'node:sea'
import * as protocol from '@egretvalve/protocol'

/** A running process of the product. */
export class MeasuredProcess {
  private constructor (private readonly child: ChildProcess, readonly line: string) {}

  /** Starts a subcommand and waits for the line that states its addresses. */
  static async start (command: string, args: readonly string[]): Promise<MeasuredProcess> {
    const [program, ...prefix] = resolveProgram()
    const child = spawn(program!, [...prefix, command, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
    return new MeasuredProcess(child, await readFirstLine(child, command))
  }

  get processId (): number {
    return this.child.pid!
  }

  /** Returns the address after a word of the first line. */
  addressAfter (word: string): string {
    return new RegExp(`${word} (?:http://)?(\\S+:\\d+)`).exec(this.line)?.[1] ?? ''
  }

  /** Ends the process and waits until it is gone. */
  async stop (): Promise<void> {
    if (this.child.exitCode !== null) return
    const ended = new Promise<void>(resolve => { this.child.once('exit', () => resolve()) })
    this.child.kill('SIGKILL')
    await ended
  }
}

/** The program and leading arguments that run this executable again. */
function resolveProgram (): string[] {
  if (sea.isSea()) return [process.execPath]
  return [process.execPath, ...process.execArgv, process.argv[1]!]
}

async function readFirstLine (child: ChildProcess, command: string): Promise<string> {
  return await new Promise<string>((resolve, reject) => {
    let text = ''
    child.stdout!.on('data', chunk => {
      text += String(chunk)
      if (text.includes('\n')) resolve(text.slice(0, text.indexOf('\n')))
    })
    child.once('exit', code => {
      reject(new protocol.StepError(protocol.ErrorCode.Unavailable, 'process.start', command, `ended with ${code ?? 'a signal'}`))
    })
  })
}
