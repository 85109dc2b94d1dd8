/** The moleculer broker that holds a process's services. Its transporter, discovery and balancer stay off. */
import * as moleculer from 'moleculer'

/** Creates a broker without transport and without its own handling of signals. */
export function createBroker (nodeId: string): moleculer.ServiceBroker {
  return new moleculer.ServiceBroker({
    nodeID: nodeId,
    logger: false,
    transporter: undefined,
    internalServices: false,
    skipProcessEventRegistration: true,
    disableBalancer: true,
    metrics: false,
    tracing: false
  })
}
