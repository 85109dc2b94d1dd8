/** Identity of an entry process. */

/** Stored as JSON under the entry's key in the store, with these field names. */
export interface EntryIdentity {
  entryId: string
  /** Changes when the process restarts. */
  life: string
  /** IP address and port on which the entry accepts agents. */
  address: string
  failureDomain: string
}
