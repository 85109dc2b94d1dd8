/** Reads a request body within a limit. */
import type * as http from 'node:http'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'

/** Bytes beyond the limit that are read and dropped, so that the sender can read its refusal. */
const MAX_DROPPED_BYTES = 64 * 1024 * 1024

/** Reads the whole body, or reports one that is larger than allowed or was cut off. */
export async function readBody (request: http.IncomingMessage, maxBodyBytes: number): Promise<results.Result<Buffer, protocol.StepError>> {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  try {
    for await (const chunk of request) {
      sizeBytes += (chunk as Buffer).length
      if (sizeBytes > maxBodyBytes + MAX_DROPPED_BYTES) break
      if (sizeBytes <= maxBodyBytes) chunks.push(chunk as Buffer)
      else chunks.length = 0
    }
  } catch (thrown) {
    return results.Err(createBodyError(`body stopped halfway: ${String(thrown)}`))
  }
  if (sizeBytes > maxBodyBytes) return results.Err(createBodyError(`body: got more than ${maxBodyBytes} bytes; expected at most that many`))
  return results.Ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))
}

function createBodyError (message: string): protocol.StepError {
  return new protocol.StepError(protocol.ErrorCode.InvalidInput, 'http.readBody', 'caller', message)
}
