/** Entry of the dispatcher: caller API, administration API, jobs, dispatch and links to agents and other entries. */
export * from './entry.ts'
export { events as entryEvents } from './events.ts'
export * from './settings.ts'
export { AnswerKindName, type AnswerView, TaskStateName, type TaskView } from './api/render.ts'
export { createToken, parseGrant, Role, type Principal, type TokenGrant } from './admin/access.ts'
