/** The link on which an entry hands jobs over to one other entry, redialled until it is closed. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { MAX_HAND_OVER_REDIAL_MS, MAX_HANDED_OPEN, MIN_REDIAL_MS } from './defaults.ts'
import { events } from './events.ts'
import { decodeAnswer, decodeProcessorTime, encodeRequest, type HandedAnswer, type HandedRequest, type ProcessorTimeLeft, TurnBatch } from './handOverMessages.ts'
import { PeerActivity } from './liveness.ts'
import { repeatUntilAborted } from './loops.ts'

/** What became of a request that was to be handed over. */
export type HandOverOutcome =
  | { kind: 'answered', answer: HandedAnswer }
  /** The other entry has not seen the request. */
  | { kind: 'unsent' }
  /** The link closed: the job may have run, and is abandoned. */
  | { kind: 'lost' }
  /** The caller has left. The other entry abandons the job. */
  | { kind: 'left' }

/** Dependencies of a link. */
export interface HandOverLinkServices {
  timers: settings.Timers
  log: settings.Log
  greeting: protocol.runs.IHandOverGreeting
  dial?: typeof runtime.dialLink
}

/** A request, or the number of one whose caller has left. */
type Item = protocol.runs.IHandedOverRequest | number

const NOTHING_LEFT: ProcessorTimeLeft = { coresLeft: 0, delayMs: 0 }

/** A link to one entry. A request belongs to the stream on which it was sent. */
export class HandOverLink {
  /** What the other entry has reported last; nothing while no stream is open. */
  left = NOTHING_LEFT
  private readonly pending = new Map<number, (outcome: HandOverOutcome) => void>()
  /** What is to be sent on the open stream; undefined while none is open. */
  private outgoing: TurnBatch<Item> | undefined
  private lastNumber = 0
  private redialMs = MIN_REDIAL_MS
  private activity: PeerActivity
  private readonly abort = new AbortController()

  constructor (readonly entryId: string, readonly address: string, private readonly services: HandOverLinkServices) {
    this.activity = new PeerActivity(services.timers)
  }

  /** Dials and redials until `close`. */
  async run (): Promise<void> {
    await repeatUntilAborted('handOver.dial', this.services, this.abort.signal, async () => {
      const wasOpen = await this.exchange()
      if (wasOpen) this.redialMs = MIN_REDIAL_MS
      const delayMs = this.redialMs * (0.5 + Math.random())
      this.redialMs = Math.min(this.redialMs * 2, MAX_HAND_OVER_REDIAL_MS)
      return delayMs
    })
  }

  /** Number of requests that have no answer yet. */
  get pendingCount (): number {
    return this.pending.size
  }

  /** Time for which the other entry has owed an answer without sending anything, in milliseconds. */
  get silentMs (): number {
    return this.pending.size === 0 ? 0 : this.activity.sinceLastMessageMs
  }

  close (): void {
    this.abort.abort()
  }

  /** Leaves all requests without an answer. */
  endAll (): void {
    for (const settle of [...this.pending.values()]) settle({ kind: 'lost' })
  }

  /** Sends a request and resolves with what became of it. */
  async send (request: HandedRequest, signal: AbortSignal): Promise<HandOverOutcome> {
    const { outgoing } = this
    if (outgoing === undefined || this.pending.size >= MAX_HANDED_OPEN) return { kind: 'unsent' }
    if (signal.aborted) return { kind: 'left' }
    const number = ++this.lastNumber
    if (this.pending.size === 0) this.activity.record()
    return await new Promise(resolve => {
      const leave = (): void => {
        outgoing.add(number)
        settle({ kind: 'left' })
      }
      const settle = (outcome: HandOverOutcome): void => {
        if (!this.pending.delete(number)) return
        signal.removeEventListener('abort', leave)
        resolve(outcome)
      }
      this.pending.set(number, settle)
      signal.addEventListener('abort', leave, { once: true })
      outgoing.add(encodeRequest(number, request), request.body.length)
    })
  }

  /** Returns true if the stream was open. */
  private async exchange (): Promise<boolean> {
    const dialed = (this.services.dial ?? runtime.dialLink)(this.address, protocol.handOverLink.exchange)
    const stop = (): void => { dialed.close() }
    this.abort.signal.addEventListener('abort', stop, { once: true })
    const outbox = new runtime.Outbox<protocol.runs.IFromHandingEntry>(dialed.stream)
    outbox.send({ greeting: this.services.greeting })
    let life: string | undefined
    let reason = 'ended by the entry'
    try {
      for await (const message of dialed.stream) {
        this.activity.record()
        if (message.greeting != null) {
          if (message.greeting.entryId !== this.entryId || life !== undefined) {
            reason = 'another process greets'
            break
          }
          life = message.greeting.life ?? ''
          this.outgoing = new TurnBatch(items => { outbox.send({ requests: encodeItems(items) }) })
          this.services.log.event(events.HandOverLinkOpened, { peer: this.entryId, life })
        } else if (life !== undefined && !this.receive(message)) {
          reason = 'answer that no entry gives'
          break
        }
      }
    } catch (thrown) {
      reason = protocol.toStepError(thrown, 'handOver.read', this.address).describe()
    }
    this.abort.signal.removeEventListener('abort', stop)
    outbox.close()
    stop()
    this.outgoing = undefined
    this.left = NOTHING_LEFT
    const unanswered = this.pending.size
    this.endAll()
    if (life !== undefined) this.services.log.event(events.HandOverLinkClosed, { peer: this.entryId, reason, unanswered })
    return life !== undefined
  }

  /** Returns false if the message contains an answer that can't be passed on. Answers to requests that have ended are dropped. */
  private receive ({ answers, time }: protocol.runs.IFromTakingEntry): boolean {
    if (time != null) this.left = decodeProcessorTime(time)
    for (const message of answers?.answers ?? []) {
      const answer = decodeAnswer(message)
      if (answer === undefined) return false
      this.pending.get(message.number ?? 0)?.({ kind: 'answered', answer })
    }
    return true
  }
}

function encodeItems (items: readonly Item[]): protocol.runs.IHandedOverRequests {
  return { requests: items.filter(item => typeof item !== 'number'), left: items.filter(item => typeof item === 'number') }
}
