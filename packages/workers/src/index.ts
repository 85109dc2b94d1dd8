/** Runs of tasks on a worker under a lease: the worker's interface, its session and the agent's executor. */
export * from './clock.ts'
export * from './defaults.ts'
export * from './driver.ts'
export * from './events.ts'
export * from './executor.ts'
export * from './order.ts'
export * from './session.ts'
export * from './size.ts'
