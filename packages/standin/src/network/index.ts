/** A TCP proxy that injects network faults. */
export { LinkFaultKind, type LinkFault } from './faults.ts'
export { createNetworkProxy, type NetworkProxy, type NetworkProxyOptions, type ProxiedConnection } from './proxy.ts'
