/** Socket addresses written as `host:port`. */
import * as net from 'node:net'

export interface SocketAddress {
  host: string
  port: number
}

/** Parses an address such as `127.0.0.1:7000`. The text is not validated. */
export function parseAddress (address: string): SocketAddress {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

const PORT_PATTERN = /^[1-9]\d{0,4}$/
const MAX_PORT = 65_535

/** Returns true for an IP address and a port from 1 to 65535. Host names are refused. */
export function isSocketAddress (text: string): boolean {
  const separator = text.lastIndexOf(':')
  const port = text.slice(separator + 1)
  return net.isIP(text.slice(0, Math.max(0, separator))) !== 0 && PORT_PATTERN.test(port) && Number(port) <= MAX_PORT
}

/** Returns true for an IPv4 address and a port from 1 to 65535. */
export function isIpv4SocketAddress (text: string): boolean {
  return isSocketAddress(text) && net.isIPv4(parseAddress(text).host)
}

export function formatAddress (host: string, port: number): string {
  return `${host}:${port}`
}
