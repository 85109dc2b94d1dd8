/** Reads HTTP request bodies up to a size limit. */
import type * as http from 'node:http'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'

/** Bytes beyond the limit that are read and discarded: a sender that is still writing could not read the error response. */
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024

/** Reads the whole body. Returns an `InvalidInput` error if it exceeds `maxBodyBytes` or the connection breaks before its end. */
export async function readBody (request: http.IncomingMessage, maxBodyBytes: number): Promise<results.Result<Buffer, protocol.StepError>> {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  const problem = await new Promise<string | undefined>(resolve => {
    const stop = (reason: string | undefined): void => {
      request.off('data', add)
      resolve(reason)
    }
    const add = (chunk: Buffer): void => {
      sizeBytes += chunk.length
      if (sizeBytes <= maxBodyBytes) chunks.push(chunk)
      else chunks.length = 0
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
  if (problem !== undefined) return results.Err(createBodyError(`body stopped halfway: ${problem}`))
  if (sizeBytes > maxBodyBytes) return results.Err(createBodyError(`body: got more than ${maxBodyBytes} bytes; expected at most that many`))
  return results.Ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))
}

function createBodyError (message: string): protocol.StepError {
  return new protocol.StepError(protocol.ErrorCode.InvalidInput, 'http.readBody', 'caller', message)
}
