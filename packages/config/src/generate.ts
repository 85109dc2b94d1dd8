/** Generates a team's configuration document from its answers. The same answers always give the same document. */
import { Departure, Importance, type Answers, type RequestAnswers, type ServiceAnswers } from './answers.ts'
import { DOCUMENT_FORMAT, RequestClass, type RequestKind, type ServiceConfig, type TeamDocument } from './document.ts'
import * as protocol from '@egretvalve/protocol'

/** Announcement lease of backend servers that announce when they stop, in milliseconds. */
const ANNOUNCED_LEASE_MS = 2_000
/** Announcement lease of backend servers that may stop without notice, in milliseconds. */
const SUDDEN_LEASE_MS = 1_000
/** Drain time as a multiple of the longest run time. */
const DRAIN_FACTOR = 2
/** Minimum drain time in milliseconds. */
const LOWEST_DRAIN_MS = 2_000

/** Generates the document. Lists are sorted by name, so that the order of the answers does not matter. */
export function generateDocument (answers: Answers): TeamDocument {
  return {
    format: DOCUMENT_FORMAT,
    team: answers.team,
    displayName: answers.displayName,
    regions: sortByName(answers.regions).map(region => ({ name: region.name, failureDomains: [...region.failureDomains].sort() })),
    quota: { weight: resolveWeight(answers.importance), reservedShare: answers.reservedPercent / 100 },
    services: sortByName(answers.services).map(generateService)
  }
}

function generateService (answers: ServiceAnswers): ServiceConfig {
  return {
    name: answers.name,
    backendServer: {
      slots: answers.slots,
      connections: answers.connections,
      cores: answers.cores,
      memoryMb: answers.memoryMb,
      accelerators: answers.accelerators
    },
    taskNeeds: { slots: 1, connections: 1, cores: 0, memoryMb: 0, accelerators: 0 },
    announcementLeaseMs: answers.departure === Departure.Announced ? ANNOUNCED_LEASE_MS : SUDDEN_LEASE_MS,
    drainMs: Math.max(LOWEST_DRAIN_MS, answers.longestRunMs * DRAIN_FACTOR),
    requests: sortByName(answers.requests).map(generateRequestKind)
  }
}

function generateRequestKind (answers: RequestAnswers): RequestKind {
  return {
    name: answers.name,
    path: answers.path,
    requestClass: answers.pressing ? RequestClass.Pressing : RequestClass.Ordinary,
    repeatable: answers.mayRunTwice,
    deadlineMs: answers.answerWithinMs,
    declaredRunMs: answers.usualRunMs
  }
}

function resolveWeight (importance: Importance): number {
  switch (importance) {
    case Importance.Small: return 1
    case Importance.Usual: return 2
    case Importance.Large: return 4
    default: return protocol.assertNever(importance)
  }
}

function sortByName<T extends { name: string }> (values: readonly T[]): T[] {
  return [...values].sort((left, right) => left.name < right.name ? -1 : 1)
}
