/** The agent: announcement, queue, starts, record of starts, drain. */
export * from './agent.ts'
export { events as agentEvents } from './events.ts'
export * from './settings.ts'
