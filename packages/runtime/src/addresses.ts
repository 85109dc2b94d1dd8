/** Socket addresses written as `host:port`. */

export interface SocketAddress {
  host: string
  port: number
}

/** Parses an address such as `127.0.0.1:7000`. The text is not validated. */
export function parseAddress (address: string): SocketAddress {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

export function formatAddress (host: string, port: number): string {
  return `${host}:${port}`
}
