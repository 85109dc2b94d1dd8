/** Messages about claims, as sent between entries. */
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import { MAX_JOB_ID_CHARS } from './defaults.ts'

const { runs } = protocol

/** Decodes what a claimant sends. */
export function decodeRequests (message: protocol.runs.IClaimRequests): claims.ClaimRequests {
  return {
    claims: (message.claims ?? []).map(({ jobId, validForMs, sequence, wasRefused }) => ({ jobId: jobId ?? '', validForMs: validForMs ?? 0, sequence: sequence ?? 0, wasRefused: wasRefused === true })),
    releases: (message.releases ?? []).map(({ jobId, hasSucceeded }) => ({ jobId: jobId ?? '', hasSucceeded: hasSucceeded === true }))
  }
}

/** Returns false for claims that no claimant means. */
export function isUsable ({ jobId, validForMs }: claims.ClaimRequest): boolean {
  return jobId !== '' && jobId.length <= MAX_JOB_ID_CHARS && validForMs >= 0 && validForMs <= claims.MAX_CLAIM_VALIDITY_MS
}

export function encodeAnswer ({ jobId, sequence, verdict, holderId }: claims.ClaimAnswer): protocol.runs.IClaimAnswer {
  return { jobId, sequence, verdict: encodeVerdict(verdict), holderId }
}

/** Decodes an answer. An unknown verdict counts as held, which starts nothing. */
export function decodeAnswer ({ jobId, sequence, verdict, holderId }: protocol.runs.IClaimAnswer): claims.ClaimAnswer {
  return { jobId: jobId ?? '', sequence: sequence ?? 0, verdict: decodeVerdict(verdict), holderId: holderId ?? '' }
}

function encodeVerdict (verdict: claims.ClaimVerdict): protocol.runs.ClaimVerdict {
  switch (verdict) {
    case claims.ClaimVerdict.Granted: return runs.ClaimVerdict.CLAIM_VERDICT_GRANTED
    case claims.ClaimVerdict.Held: return runs.ClaimVerdict.CLAIM_VERDICT_HELD
    case claims.ClaimVerdict.Succeeded: return runs.ClaimVerdict.CLAIM_VERDICT_SUCCEEDED
    default: return protocol.assertNever(verdict)
  }
}

function decodeVerdict (verdict: protocol.runs.ClaimVerdict | null | undefined): claims.ClaimVerdict {
  switch (verdict) {
    case runs.ClaimVerdict.CLAIM_VERDICT_GRANTED: return claims.ClaimVerdict.Granted
    case runs.ClaimVerdict.CLAIM_VERDICT_SUCCEEDED: return claims.ClaimVerdict.Succeeded
    default: return claims.ClaimVerdict.Held
  }
}
