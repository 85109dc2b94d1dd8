/** Adapts a fleet of real entries and agents to the `Dispatcher` interface. */
import type * as settings from '@egretvalve/settings'
import { ServerAnnouncer } from './announcer.ts'
import type { BackendServer } from './backend.ts'
import { CallerClient } from './callerClient.ts'
import type { Dispatcher, DispatcherMessages, LiveSubmission, ReceivedAnswer } from './dispatcher.ts'
import type { Fleet } from './fleet.ts'
import { LocalFleet, resolveRack, waitUntilReady } from './localFleet.ts'
import type { LocalFleetOptions } from './localFleet.ts'
import { ServerChange } from './plan.ts'
import type { LoadPlan, ServerEvent } from './plan.ts'
import { PolicyName } from './record.ts'
import { summarizeTraffic } from './traffic.ts'

/** Service name that the stand-in backend servers announce. */
export const BENCH_SERVICE = 'bench'
/** Allows the announcements to reach all entries. */
const SETTLE_MS = 300

/** The dispatcher under test, on real entries and agents. */
export class EgretvalveDispatcher implements Dispatcher {
  readonly policy = PolicyName.Egretvalve
  private announcers: ServerAnnouncer[] = []
  private caller: CallerClient | undefined

  constructor (
    private readonly servers: readonly BackendServer[],
    private readonly slots: number,
    private readonly timers: settings.Timers,
    private readonly fleet: Fleet
  ) {}

  async start (): Promise<void> {
    const addresses = await this.fleet.start()
    await Promise.all(addresses.entryAddresses.map(address => waitUntilReady(address, this.timers)))
    this.announcers = this.servers.map((server, index) => new ServerAnnouncer(addresses.announceAddresses[index]!,
      { service: BENCH_SERVICE, address: server.address, slots: this.slots, rack: resolveRack(index) }, this.timers))
    await Promise.all(this.announcers.map(announcer => announcer.announce()))
    await this.timers.sleep(SETTLE_MS)
    this.caller = new CallerClient(addresses.entryAddresses, BENCH_SERVICE)
  }

  async stop (): Promise<void> {
    await this.caller?.close()
    for (const announcer of this.announcers) announcer.stop()
    await this.fleet.stop()
  }

  async submit (submission: LiveSubmission): Promise<ReceivedAnswer> {
    return await this.caller!.submit(submission)
  }

  async cancel (submission: LiveSubmission): Promise<void> {
    await this.caller!.cancel(submission)
  }

  async changeServer (event: ServerEvent): Promise<void> {
    const announcer = this.announcers[event.server]!
    if (event.change === ServerChange.Leave) await announcer.leave()
    if (event.change === ServerChange.Return) await announcer.announce()
  }

  countMessages (): DispatcherMessages | undefined {
    if (!(this.fleet instanceof LocalFleet)) return undefined
    const { workMessages, overheadMessages, tasksSent } = summarizeTraffic()
    return { workMessages, overheadMessages, tasksSent }
  }
}

/** Creates a dispatcher whose entries and agents run in this process. */
export function createLocalDispatcher (servers: readonly BackendServer[], plan: LoadPlan, timers: settings.Timers, overrides: Partial<LocalFleetOptions> = {}): EgretvalveDispatcher {
  const fleet = new LocalFleet({ entries: plan.fleet.entries, agents: plan.fleet.servers, timers, ...overrides })
  return new EgretvalveDispatcher(servers, plan.fleet.slots, timers, fleet)
}
