/** Reads a request body within a limit. */
import type * as http from 'node:http'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'

/** Reads the whole body, or reports one that is larger than allowed or was cut off. */
export async function readBody (request: http.IncomingMessage, maxBodyBytes: number): Promise<results.Result<Buffer, protocol.StepError>> {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  try {
    for await (const chunk of request) {
      sizeBytes += (chunk as Buffer).length
      if (sizeBytes > maxBodyBytes) return results.Err(createBodyError(`body has more than ${maxBodyBytes} bytes; send at most that many`))
      chunks.push(chunk as Buffer)
    }
  } catch (thrown) {
    return results.Err(createBodyError(`body stopped halfway: ${String(thrown)}`))
  }
  return results.Ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))
}

function createBodyError (message: string): protocol.StepError {
  return new protocol.StepError(protocol.ErrorCode.InvalidInput, 'http.readBody', 'caller', message)
}
