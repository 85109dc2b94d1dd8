/** Runs one plan under several policies in turn, each on fresh stand-in backend servers. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { BackendServer } from './backend.ts'
import { BaselineDispatcher } from './baselines.ts'
import { measureNetworkMs } from './calibration.ts'
import type { Dispatcher } from './dispatcher.ts'
import { LoadGenerator } from './generator.ts'
import { computeIdeal } from './ideal.ts'
import { computeMeasures } from './measures.ts'
import type { Measures } from './measures.ts'
import { withoutLongWork } from './plan.ts'
import type { LoadPlan } from './plan.ts'
import { PolicyName } from './record.ts'
import type { RunRecord } from './record.ts'

/** Creates the dispatcher under test for the backend servers of a run. */
export type DispatcherFactory = (servers: readonly BackendServer[], plan: LoadPlan) => Dispatcher

/** Measures of one policy, with the run records they were computed from. */
export interface PolicyResult {
  measures: Measures
  record: RunRecord
  /** Run of the same plan without long jobs; only for plans that define long jobs. */
  withoutLong?: RunRecord
}

/** Runs the plan under each policy in turn and computes the measures. */
export async function comparePolicies (plan: LoadPlan, policies: readonly PolicyName[], createEgretvalve: DispatcherFactory, timers: settings.Timers): Promise<PolicyResult[]> {
  const policyResults: PolicyResult[] = []
  for (const policy of policies) {
    const record = await runPolicy(plan, policy, createEgretvalve, timers)
    const withoutLong = plan.longRunMs === undefined
      ? undefined
      : await runPolicy(withoutLongWork(plan), policy, createEgretvalve, timers)
    policyResults.push({ measures: computeMeasures(record, withoutLong), record, withoutLong })
  }
  return policyResults
}

/** Runs the plan under one policy; the ideal policy is computed without running anything. */
export async function runPolicy (plan: LoadPlan, policy: PolicyName, createEgretvalve: DispatcherFactory, timers: settings.Timers): Promise<RunRecord> {
  if (policy === PolicyName.Ideal) return computeIdeal(plan)
  const servers = Array.from({ length: plan.fleet.servers }, () => new BackendServer(plan.fleet.slots, timers))
  await Promise.all(servers.map(server => server.start()))
  const networkMs = await measureNetworkMs(servers[0]!, timers)
  const dispatcher = createDispatcher(policy, servers, plan, createEgretvalve, timers)
  try {
    await dispatcher.start()
    return await new LoadGenerator(plan, dispatcher, servers, timers).run(networkMs)
  } finally {
    await dispatcher.stop()
    await Promise.all(servers.map(server => server.stop()))
  }
}

function createDispatcher (
  policy: Exclude<PolicyName, PolicyName.Ideal>,
  servers: readonly BackendServer[],
  plan: LoadPlan,
  createEgretvalve: DispatcherFactory,
  timers: settings.Timers
): Dispatcher {
  switch (policy) {
    case PolicyName.Egretvalve: return createEgretvalve(servers, plan)
    case PolicyName.Random:
    case PolicyName.RoundRobin:
    case PolicyName.LeastOutstanding:
      return new BaselineDispatcher(policy, servers, plan.fleet.entries, plan.seed, timers)
    default: return protocol.assertNever(policy)
  }
}
