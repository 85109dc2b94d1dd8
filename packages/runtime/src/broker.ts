/** The moleculer broker that hosts the services of a process. Transporter, discovery and balancer are disabled. */
import * as moleculer from 'moleculer'

/** Creates a broker without a transporter and without signal handlers of its own. */
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
