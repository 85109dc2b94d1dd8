/** Announces a backend server to its local agent over HTTP and renews the announcement before its lease expires. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'
import { events } from '../events.ts'

/** JSON body of `PUT /v1/announcement`. */
export interface Announcement {
  service: string
  address: string
  slots: number
  connections: number
  cores: number
  memoryMb: number
  accelerators: number
  rack: string
  leaseMs: number
}

const RENEWALS_PER_LEASE = 3
/** Minimum renewal interval in milliseconds. */
const MIN_PERIOD_MS = 50
/** Status codes from here on are failures. */
const SUCCESS_STATUS_LIMIT = 300

/** Maintains one announcement at the agent from `start` to `leave`. Failed requests are logged and not thrown. */
export class Announcer {
  private readonly stopping = new AbortController()
  private renewals = Promise.resolve()

  constructor (
    private readonly agentAddress: string,
    private readonly announcement: Announcement,
    private readonly timers: settings.Timers,
    private readonly log: settings.Log
  ) {}

  /** Sends the announcement once, then renews it in the background. */
  async start (): Promise<void> {
    await this.announce()
    this.renewals = this.renew()
  }

  /** Stops renewing without notifying the agent, as if the server had crashed. */
  async stopRenewals (): Promise<void> {
    this.stopping.abort()
    await this.renewals
  }

  /** Stops renewing and withdraws the announcement from the agent. */
  async leave (): Promise<void> {
    await this.stopRenewals()
    await this.send('DELETE', undefined)
  }

  private async renew (): Promise<void> {
    const periodMs = Math.max(MIN_PERIOD_MS, this.announcement.leaseMs / RENEWALS_PER_LEASE)
    while (!this.stopping.signal.aborted) {
      await this.timers.sleep(periodMs, this.stopping.signal)
      if (!this.stopping.signal.aborted) await this.announce()
    }
  }

  private async announce (): Promise<void> {
    await this.send('PUT', JSON.stringify(this.announcement))
  }

  private async send (method: 'PUT' | 'DELETE', body: string | undefined): Promise<void> {
    try {
      const headers = body === undefined ? {} : { 'content-type': 'application/json' }
      const response = await undici.request(`http://${this.agentAddress}/v1/announcement`, { method, headers, body })
      const text = await response.body.text()
      if (response.statusCode >= SUCCESS_STATUS_LIMIT) this.logFailure(method, `status ${response.statusCode}: ${text}`)
    } catch (thrown) {
      this.logFailure(method, protocol.toStepError(thrown, 'backend.announce', this.agentAddress).message)
    }
  }

  private logFailure (method: string, reason: string): void {
    this.log.event(events.announcementFailed, { agent: this.agentAddress, method, reason })
  }
}
