/** Addresses as IP number and port. */

/** An address split into its parts. */
export interface SocketAddress {
  host: string
  port: number
}

/** Splits `127.0.0.1:7000`. */
export function parseAddress (address: string): SocketAddress {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

/** Joins an address. */
export function formatAddress (host: string, port: number): string {
  return `${host}:${port}`
}
