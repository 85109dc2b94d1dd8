/** The configured queues: which requests belong to which queue, and on which terms. */
import type { JobTerms } from './model.ts'

/** One queue. */
export interface Route {
  host: string
  /** Paths with this prefix belong to the queue unless a longer prefix matches. */
  pathPrefix: string
  terms: JobTerms
  /** Name of a feature that the queue needs and this version does not offer. */
  unsupported?: string
}

/** Limits on callers' requests. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** A version of the configuration. */
export interface RouteTable {
  version: number
  routes: readonly Route[]
  limits: CallerLimits
}

/** Finds queues by host and longest prefix. */
export class RouteIndex {
  private readonly byHost = new Map<string, Route[]>()

  constructor (readonly table: RouteTable) {
    for (const route of table.routes) {
      const routes = this.byHost.get(route.host)
      if (routes === undefined) this.byHost.set(route.host, [route])
      else routes.push(route)
    }
    for (const routes of this.byHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  }

  /** Returns the queue of a request, or undefined when there is none. */
  find (host: string, path: string): Route | undefined {
    return this.byHost.get(host)?.find(route => path.startsWith(route.pathPrefix))
  }
}
