/** The entry: caller API, administration API, jobs, peers. */
export * from './entry.ts'
export { events as entryEvents } from './events.ts'
export * from './settings.ts'
export { AnswerKindName, type AnswerView, TaskStateName, type TaskView } from './api/render.ts'
export { createToken, parseGrant, Role, type Principal, type TokenGrant } from './admin/access.ts'
