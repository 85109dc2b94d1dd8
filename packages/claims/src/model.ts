/** Claims and their answers. */

/** Answer of a registrar to a claim. */
export enum ClaimVerdict {
  Granted = 'granted',
  /** Another entry may still run the job. */
  Held = 'held',
  /** The job has succeeded at an entry. */
  Succeeded = 'succeeded'
}

/** An entry process that claims jobs. Each of its links has an object of its own. */
export interface Claimant {
  entryId: string
  /** Changes when the process restarts. */
  incarnation: string
}

export interface ClaimRequest {
  jobId: string
  /** Time after which the claimant's runs of the job have certainly ended, in milliseconds. */
  validForMs: number
  /** Number of the claim at the claimant, returned in the answer. */
  sequence: number
  /** True if a registrar has refused the claim before, as another entry held the job. */
  wasRefused?: boolean
}

/** Ends a claim: no run of the job goes on at the claimant. */
export interface ClaimRelease {
  jobId: string
  hasSucceeded: boolean
}

export interface ClaimAnswer {
  jobId: string
  sequence: number
  verdict: ClaimVerdict
  /** Entry that holds the job, or at which it has succeeded; empty if the claim was granted. */
  holderId: string
}

/** What a claimant sends in one message. Releases take effect before claims. */
export interface ClaimRequests {
  claims: ClaimRequest[]
  releases: ClaimRelease[]
}
