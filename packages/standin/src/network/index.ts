/** The stand-in for a faulty network. */
export { LinkFaultKind, type LinkFault } from './faults.ts'
export { createNetworkProxy, type NetworkProxy, type NetworkProxyOptions, type ProxiedConnection } from './proxy.ts'
