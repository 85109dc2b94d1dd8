/** Jobs that entries hand over to each other: the links to the others, and the requests that these send here. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { HAND_OVER_IDLE_MS, HAND_OVER_LOG_PERIOD_MS, MAX_HANDED_OPEN, PROCESSOR_REPORT_PERIOD_MS } from './defaults.ts'
import { isUsableEntry } from './entryChoice.ts'
import { events } from './events.ts'
import { HandOverLink, type HandOverLinkServices, type HandOverOutcome } from './handOverLink.ts'
import { decodeRequest, encodeAnswer, type HandedAnswer, type HandedRequest, isGreeting, type ProcessorTimeLeft, TurnBatch } from './handOverMessages.ts'

export type { HandOverOutcome } from './handOverLink.ts'

/** Change of the cores left and of the delay in milliseconds below which no report is sent. */
const MIN_CORES_CHANGE = 0.02
const MIN_DELAY_CHANGE_MS = 10
/** Period in which the end of the last requests is looked for during a stop, in milliseconds. */
const DRAIN_PERIOD_MS = 20

/** Dependencies of the hand-over. */
export interface HandOverServices extends Pick<HandOverLinkServices, 'timers' | 'log' | 'dial'> {
  timers: settings.Timers
  /** Returns what this entry has left. */
  processorTimeLeft: () => ProcessorTimeLeft
  /** Answers a request that another entry has handed over. The signal aborts when its caller leaves or the link closes. */
  take: (request: HandedRequest, signal: AbortSignal) => Promise<HandedAnswer>
}

/** Jobs since the start, by what became of them. */
export interface HandOverCounters {
  answered: number
  refused: number
  unsent: number
  lost: number
  left: number
  taken: number
  takenRefused: number
  takenLeft: number
}

/** An entry that may hand jobs over to this one. */
interface Taker {
  outbox: runtime.Outbox<protocol.runs.IFromTakingEntry>
  open: Map<number, AbortController>
  reported: ProcessorTimeLeft | undefined
}

const REFUSALS: readonly number[] = [429, 503]

export class HandOver {
  readonly counters: HandOverCounters = { answered: 0, refused: 0, unsent: 0, lost: 0, left: 0, taken: 0, takenRefused: 0, takenLeft: 0 }
  private logged = { ...this.counters }
  private readonly links = new Map<string, HandOverLink>()
  private readonly takers = new Set<Taker>()
  private addresses: ReadonlyMap<string, string> = new Map()
  private neededAtMs = Number.NEGATIVE_INFINITY
  private readonly handles: settings.TimerHandle[]

  constructor (private readonly identity: { entryId: string, life: string }, private readonly services: HandOverServices) {
    const { timers } = services
    this.handles = [
      timers.every(PROCESSOR_REPORT_PERIOD_MS, () => { this.report() }),
      timers.every(HAND_OVER_LOG_PERIOD_MS, () => { this.check() })
    ]
  }

  /** Takes jobs of other entries on a server. Call before the server starts. */
  accept (server: runtime.LinkServer): void {
    server.accept('handOver', protocol.handOverLink.exchange, async stream => { await this.serve(stream) })
  }

  /** Sets the registered entries. Links to entries that are no longer registered, or have another address, are closed. */
  setEntries (entries: readonly protocol.runs.IEntryAddress[]): void {
    const usable = entries.filter(({ address, failureDomain }) => isUsableEntry({ address: address ?? '', failureDomain: failureDomain ?? '' }))
    const addresses = new Map(usable.map(entry => [entry.entryId ?? '', entry.address ?? '']))
    addresses.delete(this.identity.entryId)
    this.addresses = addresses
    for (const link of [...this.links.values()]) if (addresses.get(link.entryId) !== link.address) this.closeLink(link)
  }

  /** Opens links to the other entries, since this one lacks processor time. They are closed when it has lacked none for a while. */
  open (): void {
    this.neededAtMs = this.services.timers.nowMs()
    if (this.links.size === this.addresses.size) return
    for (const [entryId, address] of this.addresses) {
      if (this.links.has(entryId)) continue
      const link = new HandOverLink(entryId, address, { ...this.services, greeting: this.identity })
      this.links.set(entryId, link)
      link.run()
    }
  }

  /** The entries to which links exist, with what they have left. */
  get peers (): Array<ProcessorTimeLeft & { entryId: string, silentMs: number }> {
    return Array.from(this.links.values(), ({ entryId, left, silentMs }) => ({ entryId, ...left, silentMs }))
  }

  /** Hands a request over. Resolves with what became of it. */
  async send (entryId: string, request: HandedRequest, signal: AbortSignal): Promise<HandOverOutcome> {
    const outcome = await this.links.get(entryId)?.send(request, signal) ?? { kind: 'unsent' as const }
    this.counters[outcome.kind === 'answered' && REFUSALS.includes(outcome.answer.status) ? 'refused' : outcome.kind]++
    return outcome
  }

  /** Number of requests handed over that have no answer yet. */
  get sentCount (): number {
    return Array.from(this.links.values(), link => link.pendingCount).reduce((sum, count) => sum + count, 0)
  }

  /** Number of requests taken that have no answer yet. */
  get takenCount (): number {
    return Array.from(this.takers, ({ open }) => open.size).reduce((sum, count) => sum + count, 0)
  }

  /** Leaves all requests that were handed over without an answer. */
  endAll (): void {
    for (const link of this.links.values()) link.endAll()
  }

  /** Resolves when each request that was taken has been answered, or the signal aborts. */
  async drain (signal: AbortSignal): Promise<void> {
    while (this.takenCount > 0 && !signal.aborted) await this.services.timers.sleep(DRAIN_PERIOD_MS, signal)
    // The last answers leave the process in the next turns of the event loop.
    await this.services.timers.sleep(DRAIN_PERIOD_MS)
  }

  stop (): void {
    for (const handle of this.handles) handle.cancel()
    for (const link of [...this.links.values()]) this.closeLink(link)
    this.check()
  }

  private closeLink (link: HandOverLink): void {
    link.close()
    this.links.delete(link.entryId)
  }

  private async serve (stream: runtime.LinkStream<protocol.runs.FromHandingEntry, protocol.runs.IFromTakingEntry>): Promise<void> {
    const outbox = new runtime.Outbox<protocol.runs.IFromTakingEntry>(stream)
    const answers = new TurnBatch<protocol.runs.IHandedOverAnswer>(batch => { outbox.send({ answers: { answers: batch } }) })
    const taker: Taker = { outbox, open: new Map(), reported: undefined }
    try {
      for await (const message of stream) {
        if (!this.takers.has(taker)) {
          if (message.greeting == null || !isGreeting(message.greeting)) break
          outbox.send({ greeting: this.identity })
          this.takers.add(taker)
          this.reportTo(taker)
        } else if (message.requests == null || !this.receive(taker, message.requests, answers)) break
      }
    } catch {
      // The entry that hands over logs the end of the link.
    }
    this.takers.delete(taker)
    for (const abort of taker.open.values()) abort.abort()
    outbox.end()
  }

  /** Takes requests and ends those whose callers have left. Returns false for what no entry sends. */
  private receive (taker: Taker, { requests, left }: protocol.runs.IHandedOverRequests, answers: TurnBatch<protocol.runs.IHandedOverAnswer>): boolean {
    for (const message of requests ?? []) {
      const number = message.number ?? 0
      const request = decodeRequest(message)
      if (request === undefined || taker.open.has(number) || taker.open.size >= MAX_HANDED_OPEN) return false
      this.take(taker, number, request, answers)
    }
    for (const number of left ?? []) taker.open.get(number)?.abort()
    return true
  }

  private async take (taker: Taker, number: number, request: HandedRequest, answers: TurnBatch<protocol.runs.IHandedOverAnswer>): Promise<void> {
    const abort = new AbortController()
    taker.open.set(number, abort)
    this.counters.taken++
    const answer = await this.services.take(request, abort.signal).catch(() => undefined)
    taker.open.delete(number)
    if (abort.signal.aborted) this.counters.takenLeft++
    // Without an answer the job may have run: the link is closed, which leaves its callers without one.
    else if (answer === undefined) taker.outbox.end()
    else {
      if (REFUSALS.includes(answer.status)) this.counters.takenRefused++
      answers.add(encodeAnswer(number, answer), answer.body.length)
    }
  }

  private report (): void {
    for (const taker of this.takers) this.reportTo(taker)
  }

  /** Reports a change of what this entry has left; without one only while an answer is owed, to show that this entry is alive. */
  private reportTo (taker: Taker): void {
    const left = this.services.processorTimeLeft()
    const { reported } = taker
    const hasChanged = reported === undefined || Math.abs(left.coresLeft - reported.coresLeft) > MIN_CORES_CHANGE || (left.coresLeft === 0) !== (reported.coresLeft === 0) || Math.abs(left.delayMs - reported.delayMs) > MIN_DELAY_CHANGE_MS
    if (!hasChanged && taker.open.size === 0) return
    taker.reported = left
    taker.outbox.send({ time: left })
  }

  /** Logs what was handed over since the last call, and closes links that are no longer needed. */
  private check (): void {
    const { counters, logged } = this
    const changes = Object.fromEntries(Object.entries(counters).map(([name, count]) => [name, count - logged[name as keyof HandOverCounters]]))
    if (Object.values(changes).some(count => count > 0)) this.services.log.event(events.HandOverCounts, changes)
    this.logged = { ...counters }
    if (this.services.timers.nowMs() - this.neededAtMs < HAND_OVER_IDLE_MS) return
    for (const link of [...this.links.values()]) if (link.pendingCount === 0) this.closeLink(link)
  }
}
