/** Lookups in a team's document. */
import type { RequestKind, ServiceConfig, TeamDocument } from './document.ts'

/** Finds a service of a team. */
export function findService (document: TeamDocument, service: string): ServiceConfig | undefined {
  return document.services.find(candidate => candidate.name === service)
}

/** Finds a request kind by service and path. */
export function findRequestKind (document: TeamDocument, service: string, path: string): RequestKind | undefined {
  return findService(document, service)?.requests.find(kind => kind.path === path)
}
