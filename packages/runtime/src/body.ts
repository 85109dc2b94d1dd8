/** Reads HTTP request bodies up to a size limit. */
import type * as http from 'node:http'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import { BodyBuffer } from './bodyBuffer.ts'

/** Bytes beyond the limit that are read and discarded: a sender that is still writing could not read the error response. */
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024

/** Counts the memory that the body of a request holds. Negative numbers release it. */
export type CountHeld = (bytes: number) => void

/** Reads the whole body. Returns an `InvalidInput` error if it exceeds `maxBodyBytes` or the connection breaks before its end. */
export async function readBody (request: http.IncomingMessage, maxBodyBytes: number, countHeld: CountHeld = () => {}): Promise<results.Result<Buffer, protocol.StepError>> {
  const buffer = new BodyBuffer()
  let sizeBytes = 0
  const clear = (): void => {
    countHeld(-buffer.heldBytes)
    buffer.clear()
  }
  const problem = await new Promise<string | undefined>(resolve => {
    const stop = (reason: string | undefined): void => {
      request.off('data', add)
      resolve(reason)
    }
    const add = (chunk: Buffer): void => {
      sizeBytes += chunk.length
      if (sizeBytes <= maxBodyBytes) {
        const grownBytes = buffer.append(chunk)
        if (grownBytes > 0) countHeld(grownBytes)
      } else if (buffer.heldBytes > 0) {
        clear()
      }
      if (sizeBytes > maxBodyBytes + MAX_DISCARDED_BYTES) {
        request.destroy()
        stop(undefined)
      }
    }
    request.on('data', add)
    request.once('end', () => { stop(undefined) })
    request.once('error', error => { stop(String(error)) })
    request.once('close', () => { stop('connection closed') })
    if (request.destroyed) stop('connection closed')
  })
  if (problem === undefined && sizeBytes <= maxBodyBytes) return results.Ok(buffer.take())
  clear()
  return results.Err(createBodyError(problem !== undefined ? `body stopped halfway: ${problem}` : `body: got more than ${maxBodyBytes} bytes; expected at most that many`))
}

function createBodyError (message: string): protocol.StepError {
  return new protocol.StepError(protocol.ErrorCode.InvalidInput, 'http.readBody', 'caller', message)
}
