/** Identifiers of submissions, nodes and partitions. */
import * as uuid from 'uuid'
import xxhash from 'xxhash-wasm'
import type { wire } from './generated/wire.js'

/** Number of partitions into which submissions are hashed. */
export const PARTITION_COUNT = 256

let hash32: ((input: string) => number) | undefined

/** Loads the hash function. Must complete before `hashText` and `resolvePartition` are called. */
export async function loadHash (): Promise<void> {
  if (hash32 !== undefined) return
  const api = await xxhash()
  hash32 = input => api.h32(input)
}

/** Returns the 32-bit xxHash of a text. Throws if `loadHash` has not completed. */
export function hashText (text: string): number {
  if (hash32 === undefined) throw new Error('loadHash has not completed')
  return hash32(text)
}

/** Returns the key of a submission as text, for maps and hashing. */
export function submissionKeyText (key: wire.ISubmissionKey): string {
  return `${key.team ?? ''}/${key.submissionId ?? ''}`
}

/** Returns the partition of a submission, from 0 to `PARTITION_COUNT - 1`. */
export function resolvePartition (key: wire.ISubmissionKey): number {
  return hashText(submissionKeyText(key)) % PARTITION_COUNT
}

/** Creates an incarnation id, which identifies one run of a process. */
export function createIncarnation (): string {
  return uuid.v7()
}

/** Creates a submission id that contains its creation time. */
export function createSubmissionId (): string {
  return uuid.v7()
}

/** Number of leading hexadecimal digits of a version 7 UUID that hold its Unix time in milliseconds. */
const UUID_TIME_DIGITS = 12

/** Returns the creation time in Unix milliseconds of a version 7 UUID, or undefined for any other id. */
export function submissionTimeMs (submissionId: string): number | undefined {
  if (!uuid.validate(submissionId) || uuid.version(submissionId) !== 7) return undefined
  return Number.parseInt(submissionId.replaceAll('-', '').slice(0, UUID_TIME_DIGITS), 16)
}
