/** Handles the streams that agents open to this entry. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as config from '@egretvalve/config'
import type * as settings from '@egretvalve/settings'
import { createAgentExchange, type AgentConfigExchange } from '../config/agentExchange.ts'
import type { Dispatcher } from '../dispatch/dispatcher.ts'
import type { WaitingTask } from '../dispatch/taskGroup.ts'
import { events } from '../events.ts'
import type { Job } from '../jobs/job.ts'
import { AgentSession, OutstandingTasks } from './agentSession.ts'

const { wire } = protocol

/** Interval of the heartbeats on a stream, in milliseconds. */
const HEARTBEAT_PERIOD_MS = 60_000

type AgentStream = runtime.LinkStream<protocol.wire.AgentToEntry, protocol.wire.IEntryToAgent>

/** One incarnation of an agent. It outlives its session while the agent may still reconnect. */
interface KnownAgent {
  incarnation: string
  outstanding: OutstandingTasks
  session: AgentSession | undefined
  lossTimer: settings.TimerHandle | undefined
}

/** Dependencies of the agent links. */
export interface AgentLinksOptions {
  timers: settings.Timers
  log: settings.Log
  dispatcher: Dispatcher
  /** Time for a disconnected agent to reconnect before its tasks are reported unknown, in milliseconds. */
  agentGraceMs: number
  createHello: () => protocol.wire.IEntryHello
  /** Propagates the configuration to the agents. */
  propagator: config.ConfigPropagator
  /** Called for every stream that an agent opens, once the agent has identified itself. */
  onAgentConnected: (agentId: string, incarnation: string) => void
  /** Creates the list of entries for an agent. */
  createEntryList: (agentId: string) => protocol.wire.IEntryList
  /** Called for each page of an agent's start record. */
  onFenceAnswer: (answer: protocol.wire.IFenceAnswer) => void
}

/** Sessions and outstanding tasks of all agents. */
export class AgentLinks {
  private readonly agents = new Map<string, KnownAgent>()

  constructor (private readonly options: AgentLinksOptions) {}

  /** Sessions of the connected agents. */
  get sessions (): AgentSession[] {
    return [...this.agents.values()].flatMap(agent => agent.session ?? [])
  }

  /** Adds a task that an earlier owner sent to the agent's outstanding tasks. Returns false if this incarnation of the agent is unknown here. */
  trackAdoptedTask (agentId: string, incarnation: string, task: WaitingTask): boolean {
    const agent = this.agents.get(agentId)
    if (agent === undefined || agent.incarnation !== incarnation) return false
    agent.outstanding.add(task)
    return true
  }

  /** Sends the current list of entries to all connected agents. */
  sendEntries (): void {
    for (const session of this.sessions) session.sendEntries(this.options.createEntryList(session.agentId))
  }

  /** Requests the state of the outstanding tasks from all connected agents. */
  sendInquiries (): void {
    for (const session of this.sessions) session.sendInquiry()
  }

  /** Removes the outstanding tasks of a job that another entry now owns. */
  dropJob (job: Job): void {
    for (const agent of this.agents.values()) agent.outstanding.dropJob(job.keyText)
  }

  /** Handles one stream until it ends. */
  async serve (stream: AgentStream, peer: string): Promise<void> {
    const outbox = new runtime.Outbox<protocol.wire.IEntryToAgent>(stream)
    outbox.send({ hello: this.options.createHello() })
    const heartbeat = this.options.timers.every(HEARTBEAT_PERIOD_MS, () => {
      outbox.send({ heartbeat: { wallClockMs: this.options.timers.wallClockMs() } })
    })
    let session: AgentSession | undefined
    let exchange: AgentConfigExchange | undefined
    let hasLeft = false
    try {
      for await (const message of stream) {
        if (message.hello != null) {
          session = this.connect(message.hello, outbox, peer)
          exchange = createAgentExchange(this.options.propagator, message.hello, reply => { outbox.send(reply) })
        }
        exchange?.handleMessage(message)
        if (message.report != null && session !== undefined) this.handleReports(session, message.report)
        if (message.fenceAnswer != null) this.options.onFenceAnswer(message.fenceAnswer)
        if (message.goodbye != null) hasLeft = true
      }
    } catch {
      // A stream error ends the session in the same way as a closed stream.
    }
    heartbeat.cancel()
    outbox.close()
    exchange?.close(hasLeft)
    if (session !== undefined) this.disconnect(session, hasLeft)
  }

  private connect (hello: protocol.wire.IAgentHello, outbox: runtime.Outbox<protocol.wire.IEntryToAgent>, peer: string): AgentSession {
    const agent = this.resolveAgent(hello)
    const agentId = hello.agentId ?? ''
    this.options.onAgentConnected(agentId, hello.incarnation ?? '')
    const session = new AgentSession(hello, agent.outstanding, outbox, (task, report) => { this.options.dispatcher.handleReport(task, report, agentId) })
    if (agent.session !== undefined) this.options.dispatcher.removeAgent(agent.session)
    agent.session = session
    agent.lossTimer?.cancel()
    this.options.log.event(events.AgentConnected, { agentId: session.agentId, peer, failureDomain: session.failureDomain })
    this.checkClock(hello, peer)
    session.sendEntries(this.options.createEntryList(agentId))
    session.sendInquiry()
    this.options.dispatcher.addAgent(session)
    return session
  }

  /** An agent that reconnects with the same incarnation keeps its outstanding tasks. A new incarnation has lost them. */
  private resolveAgent (hello: protocol.wire.IAgentHello): KnownAgent {
    const agentId = hello.agentId ?? ''
    const known = this.agents.get(agentId)
    if (known !== undefined && known.incarnation === hello.incarnation) return known
    if (known !== undefined) this.reportTasksUnknown(agentId, known)
    const agent = { incarnation: hello.incarnation ?? '', outstanding: new OutstandingTasks(), session: undefined, lossTimer: undefined }
    this.agents.set(agentId, agent)
    return agent
  }

  private handleReports (session: AgentSession, batch: protocol.wire.IReportBatch): void {
    session.handleReports(batch)
    this.options.dispatcher.receiveLoad(session)
  }

  private disconnect (session: AgentSession, hasLeft: boolean): void {
    const agent = this.agents.get(session.agentId)
    this.options.dispatcher.removeAgent(session)
    if (agent === undefined || agent.session !== session) return
    agent.session = undefined
    this.options.log.event(hasLeft ? events.AgentLeft : events.AgentDisconnected, { agentId: session.agentId, outstanding: agent.outstanding.size })
    if (agent.outstanding.size === 0) {
      this.agents.delete(session.agentId)
      return
    }
    agent.lossTimer = this.options.timers.after(this.options.agentGraceMs, () => {
      this.agents.delete(session.agentId)
      this.reportTasksUnknown(session.agentId, agent)
    })
  }

  /** Reports the outstanding tasks of a lost agent as unknown: they may have started, and no report can arrive any more. */
  private reportTasksUnknown (agentId: string, agent: KnownAgent): void {
    agent.lossTimer?.cancel()
    const tasks = agent.outstanding.takeAll()
    if (tasks.length === 0) return
    this.options.log.event(events.AgentLost, { agentId, tasks: tasks.length })
    for (const task of tasks) {
      const error = `link.read (${agentId}): agent lost after the task was sent`
      this.options.dispatcher.handleReport(task, { index: task.index, attempt: task.attempt, state: wire.TaskState.TASK_STATE_UNKNOWN, error }, agentId)
    }
  }

  private checkClock (hello: protocol.wire.IAgentHello, peer: string): void {
    const offsetMs = Math.abs((hello.wallClockMs ?? 0) - this.options.timers.wallClockMs())
    if (offsetMs > protocol.MAX_CLOCK_SKEW_MS) this.options.log.event(events.ClockOff, { peer, agentId: hello.agentId ?? '', offsetMs })
  }
}
