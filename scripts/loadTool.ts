// Runs the load tool with entries and agents as separate processes. Usage: npm run load -- [settings of egretvalve load]
import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import * as bench from '@egretvalve/bench'

const EXECUTABLE = 'dist/egretvalve'

/** Returns the first line on the standard output of a process; throws when the process exits before it. */
async function readFirstLine (child: ChildProcess, command: string): Promise<string> {
  const lines = createInterface({ input: child.stdout! })
  const exited = once(child, 'exit').then(() => { throw new Error(`${command} exited before printing its addresses`) })
  const [line] = await Promise.race([once(lines, 'line'), exited])
  return String(line)
}

/** Starts a subcommand of the built executable and waits for the line with its addresses. */
async function startProcess (command: string, args: readonly string[]): Promise<bench.MeasuredProcess> {
  const child = spawn(EXECUTABLE, [command, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  const line = await readFirstLine(child, command)
  return {
    processId: child.pid!,
    addressAfter: label => new RegExp(`${label} (?:http://)?(\\S+:\\d+)`).exec(line)?.[1] ?? '',
    stop: async () => {
      if (child.exitCode !== null) return
      const exited = once(child, 'exit')
      child.kill('SIGKILL')
      await exited
    }
  }
}

bench.registerProcessStarter(startProcess)
const streams = { out: (line: string) => { console.log(line) }, error: (line: string) => { console.error(line) } }
bench.runLoad(process.argv.slice(2), process.env, streams).then(exitCode => { process.exit(exitCode) }, thrown => {
  console.error(thrown)
  process.exit(1)
})
