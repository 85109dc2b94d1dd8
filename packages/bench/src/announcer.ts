/** Announces stand-in backend servers to their agents under a lease. */
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'

const LEASE_MS = 6_000
const RENEWAL_PERIOD_MS = 2_000
const CONNECTIONS_PER_SERVER = 64
const CORES_PER_SERVER = 30
const MEMORY_PER_SERVER_MB = 128_000

/** Announced properties of a backend server. */
export interface AnnouncedServer {
  service: string
  address: string
  slots: number
  rack: string
}

/** Announces one backend server and renews its lease until it leaves. */
export class ServerAnnouncer {
  private renewal: settings.TimerHandle | undefined

  constructor (private readonly announceAddress: string, private readonly server: AnnouncedServer, private readonly timers: settings.Timers) {}

  /** Announces the server and starts renewing its lease. Rejects if the agent cannot be reached. */
  async announce (): Promise<void> {
    await this.renew()
    this.renewal = this.timers.every(RENEWAL_PERIOD_MS, () => { this.renew().catch(() => {}) })
  }

  /** Stops the renewals and withdraws the announcement. */
  async leave (): Promise<void> {
    this.stop()
    const response = await undici.request(this.url, { method: 'DELETE' })
    await response.body.dump()
  }

  /** Stops the renewals without withdrawing the announcement; the lease then expires. */
  stop (): void {
    this.renewal?.cancel()
    this.renewal = undefined
  }

  private get url (): string {
    return `http://${this.announceAddress}/v1/announcement`
  }

  private async renew (): Promise<void> {
    const body = JSON.stringify({ ...this.server, connections: CONNECTIONS_PER_SERVER, cores: CORES_PER_SERVER, memoryMb: MEMORY_PER_SERVER_MB, leaseMs: LEASE_MS })
    const response = await undici.request(this.url, { method: 'PUT', headers: { 'content-type': 'application/json' }, body })
    await response.body.dump()
  }
}
