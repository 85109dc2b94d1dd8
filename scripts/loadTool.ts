// Runs the load tool with entries and agents as processes of their own: npm run load -- [settings of egretvalve load]
import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import * as bench from '@egretvalve/bench'

const EXECUTABLE = 'dist/egretvalve'

/** Returns the first line that a process prints. */
async function readFirstLine (child: ChildProcess, command: string): Promise<string> {
  const lines = createInterface({ input: child.stdout! })
  const ended = once(child, 'exit').then(() => { throw new Error(`${command} ended without stating its addresses`) })
  const [line] = await Promise.race([once(lines, 'line'), ended])
  return String(line)
}

/** Starts a subcommand of the built executable. */
async function startProcess (command: string, args: readonly string[]): Promise<bench.MeasuredProcess> {
  const child = spawn(EXECUTABLE, [command, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  const line = await readFirstLine(child, command)
  return {
    processId: child.pid!,
    addressAfter: word => new RegExp(`${word} (?:http://)?(\\S+:\\d+)`).exec(line)?.[1] ?? '',
    stop: async () => {
      if (child.exitCode !== null) return
      const ended = once(child, 'exit')
      child.kill('SIGKILL')
      await ended
    }
  }
}

bench.registerProcessStarter(startProcess)
const streams = { out: (line: string) => { console.log(line) }, error: (line: string) => { console.error(line) } }
bench.runLoad(process.argv.slice(2), process.env, streams).then(exitCode => { process.exit(exitCode) }, thrown => {
  console.error(thrown)
  process.exit(1)
})
