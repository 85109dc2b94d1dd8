/** `egretvalve agent`: runs an agent beside a backend server. */
import * as agent from '@egretvalve/agent'
import { createSettingsCommand } from '../command.ts'
import { runProcess } from './process.ts'

export const agentCommand = createSettingsCommand({
  name: 'agent',
  usage: 'egretvalve agent [settings]',
  summary: 'Runs an agent: takes the announcement of the backend server beside it and starts its tasks.',
  definition: agent.agentDefinition,
  run: async (values, _positionals, streams) => {
    let program: agent.Agent
    return await runProcess('agent', values, streams, services => {
      program = agent.createAgent(values, services)
      return program
    }, () => `agent ${values.nodeId} listens for announcements on ${program.announceAddress}`)
  }
})
