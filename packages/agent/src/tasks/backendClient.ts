/** HTTP client for the backend server on the same VM. */
import * as undici from 'undici'
import * as protocol from '@egretvalve/protocol'

const { wire } = protocol

/** Error codes that show, when a connection is being opened, that no byte of the request was sent, so that the task has certainly not run. */
const UNREACHABLE_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'])
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT'
const CONNECT_TIMEOUT_MS = 2_000
const HTTP_OK_LOWEST = 200
const HTTP_OK_HIGHEST = 299

/** The fields of a task report that a call to the backend server determines. */
export type BackendOutcome = Pick<protocol.wire.ITaskReport, 'state' | 'refusal' | 'statusCode' | 'body' | 'contentType' | 'error'>

/** Sends tasks to one backend server over a bounded number of connections. */
export class BackendClient {
  private readonly pool: undici.Pool

  constructor (readonly address: string, connections: number) {
    this.pool = new undici.Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MS }
    })
  }

  /** Runs one task and returns its outcome. Never rejects: errors become an outcome of state not run or unknown. */
  async run (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart, signal: AbortSignal): Promise<BackendOutcome> {
    try {
      const response = await this.pool.request({
        method: 'POST',
        path: job.path !== undefined && job.path !== null && job.path !== '' ? job.path : '/',
        headers: createHeaders(job, task),
        body: task.body ?? null,
        signal
      })
      const body = Buffer.from(await response.body.arrayBuffer())
      return resolveOutcome(response.statusCode, body, readContentType(response.headers['content-type']))
    } catch (thrown) {
      return resolveFailure(thrown, this.address)
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

function createHeaders (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart): Record<string, string> {
  return {
    'content-type': job.contentType !== undefined && job.contentType !== null && job.contentType !== '' ? job.contentType : 'application/octet-stream',
    'x-egretvalve-team': job.key?.team ?? '',
    'x-egretvalve-submission-id': job.key?.submissionId ?? '',
    'x-egretvalve-task-index': String(task.index ?? 0),
    'x-egretvalve-deadline-ms': String(job.deadlineAtMs ?? 0)
  }
}

function readContentType (header: string | string[] | undefined): string {
  return Array.isArray(header) ? header[0] ?? '' : header ?? ''
}

function resolveOutcome (statusCode: number, body: Buffer, contentType: string): BackendOutcome {
  const isOk = statusCode >= HTTP_OK_LOWEST && statusCode <= HTTP_OK_HIGHEST
  const state = isOk ? wire.TaskState.TASK_STATE_FINISHED : wire.TaskState.TASK_STATE_FAILED
  return { state, statusCode, body, contentType, error: isOk ? '' : `backend server answered ${statusCode}` }
}

function resolveFailure (thrown: unknown, address: string): BackendOutcome {
  const error = `backend.request (${address}): ${thrown instanceof Error ? thrown.message : String(thrown)}`
  if (isNotSent(thrown as NodeJS.ErrnoException)) {
    return { state: wire.TaskState.TASK_STATE_NOT_RUN, refusal: wire.RefusalReason.REFUSAL_REASON_NO_BACKEND, error }
  }
  return { state: wire.TaskState.TASK_STATE_UNKNOWN, error }
}

/** An open connection can fail with the same codes, after the request was sent. */
function isNotSent ({ code = '', syscall }: NodeJS.ErrnoException): boolean {
  return code === CONNECT_TIMEOUT_CODE || (syscall === 'connect' && UNREACHABLE_CODES.has(code))
}
