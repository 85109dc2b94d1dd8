/** The agent: announcement, task queue, execution, start record, drain. */
export * from './agent.ts'
export { events as agentEvents } from './events.ts'
export * from './settings.ts'
