/** The newest configuration as it stands in the store, passed between nodes so that one that can't reach the store gets it too. */
import type * as protocol from '@egretvalve/protocol'

/** A version and its document. */
export interface ConfigDocument {
  version: number
  document: Uint8Array
}

/** Keeps the highest version that the node has seen; it never goes back. */
export class ConfigShelf {
  private current: ConfigDocument | undefined
  private readonly listeners = new Set<(copy: ConfigDocument) => void>()

  /** `isSound` returns true for a document that can be read and has the version; others would keep out all that follow. */
  constructor (private readonly isSound: (copy: ConfigDocument) => boolean = () => true) {}

  /** Number of the version; 0 for none. */
  get version (): number {
    return this.current?.version ?? 0
  }

  /** The newest copy as a message. */
  get message (): protocol.runs.IConfigCopy | undefined {
    return this.current
  }

  /** Takes a copy if it is newer and sound. Returns whether it was. */
  offer (copy: ConfigDocument): boolean {
    if (copy.version <= this.version || !this.isSound(copy)) return false
    this.current = copy
    for (const listener of this.listeners) listener(copy)
    return true
  }

  /** Calls back with each newer copy. */
  subscribe (listener: (copy: ConfigDocument) => void): void {
    this.listeners.add(listener)
  }
}

/** Reads the message of a copy. */
export function decodeCopy (message: protocol.runs.IConfigCopy): ConfigDocument {
  return { version: message.version ?? 0, document: message.document ?? new Uint8Array() }
}
