/** Topics of the questionnaire. Each takes a draft of the answers and returns it with its own answers filled in. */
import * as protocol from '@egretvalve/protocol'
import { Departure, Importance, type Answers, type RequestAnswers, type ServiceAnswers } from '../answers.ts'
import type { FieldAsker } from './fields.ts'

/** Topics in the order in which they are asked. */
export enum Topic {
  Team = 'team',
  Places = 'places',
  Share = 'share',
  Services = 'services',
  Requests = 'requests'
}

/** Answers given so far. */
export type AnswersDraft = Partial<Answers>

type RegionAnswers = Answers['regions'][number]

/** Default answers for a new service. */
const DEFAULT_SERVICE: Partial<ServiceAnswers> = { slots: 8, connections: 64, cores: 30, memoryMb: 131_072, accelerators: 0, departure: Departure.Announced }

/** Asks the questions of a topic and returns the draft completed with the answers. */
export async function askTopic (topic: Topic, asker: FieldAsker, draft: AnswersDraft): Promise<AnswersDraft> {
  switch (topic) {
    case Topic.Team: return await askTeam(asker, draft)
    case Topic.Places: return { ...draft, regions: await askRegions(asker, draft.regions ?? []) }
    case Topic.Share: return await askShare(asker, draft)
    case Topic.Services: return { ...draft, services: await askServices(asker, draft.services ?? []) }
    case Topic.Requests: return { ...draft, services: await askRequests(asker, draft.services ?? []) }
    default: return protocol.assertNever(topic)
  }
}

async function askTeam (asker: FieldAsker, draft: AnswersDraft): Promise<AnswersDraft> {
  const team = await asker.text('team', draft.team)
  const displayName = await asker.text('displayName', draft.displayName)
  return { ...draft, team, displayName }
}

async function askRegions (asker: FieldAsker, before: readonly RegionAnswers[]): Promise<RegionAnswers[]> {
  const regions: RegionAnswers[] = []
  for (let hasMore = true; hasMore;) {
    const previous = before[regions.length]
    const name = await asker.text('regions.name', previous?.name)
    const failureDomains = await asker.names('regions.failureDomains', previous?.failureDomains)
    regions.push({ name, failureDomains })
    hasMore = await asker.yesOrNo('prompt.anotherRegion', regions.length < before.length)
  }
  return regions
}

async function askShare (asker: FieldAsker, draft: AnswersDraft): Promise<AnswersDraft> {
  const { translate } = asker.translator
  const choices = Object.values(Importance).map(value => ({ value, label: translate(`choice.${value}`) }))
  const importance = await asker.choose('question.importance', choices, draft.importance ?? Importance.Usual)
  const reservedPercent = await asker.number('reservedPercent', draft.reservedPercent ?? 0)
  return { ...draft, importance, reservedPercent }
}

async function askServices (asker: FieldAsker, before: readonly ServiceAnswers[]): Promise<ServiceAnswers[]> {
  const services: ServiceAnswers[] = []
  for (let hasMore = true; hasMore;) {
    services.push(await askService(asker, before[services.length]))
    hasMore = await asker.yesOrNo('prompt.anotherService', services.length < before.length)
  }
  return services
}

async function askService (asker: FieldAsker, before: ServiceAnswers | undefined): Promise<ServiceAnswers> {
  const { translate } = asker.translator
  const previous = before ?? DEFAULT_SERVICE
  const choices = Object.values(Departure).map(value => ({ value, label: translate(`choice.${value}`) }))
  return {
    name: await asker.text('services.name', previous.name),
    slots: await asker.number('services.slots', previous.slots),
    connections: await asker.number('services.connections', previous.connections),
    cores: await asker.number('services.cores', previous.cores),
    memoryMb: await asker.number('services.memoryMb', previous.memoryMb),
    accelerators: await asker.number('services.accelerators', previous.accelerators),
    departure: await asker.choose('question.services.departure', choices, previous.departure),
    longestRunMs: await asker.number('services.longestRunMs', previous.longestRunMs),
    requests: before?.requests ?? []
  }
}

async function askRequests (asker: FieldAsker, services: readonly ServiceAnswers[]): Promise<ServiceAnswers[]> {
  const complete: ServiceAnswers[] = []
  for (const service of services) {
    asker.prompter.show(asker.translator.translate('prompt.service', { service: service.name }))
    complete.push({ ...service, requests: await askServiceRequests(asker, service) })
  }
  return complete
}

async function askServiceRequests (asker: FieldAsker, service: ServiceAnswers): Promise<RequestAnswers[]> {
  const requests: RequestAnswers[] = []
  const another = asker.translator.translate('prompt.anotherRequest', { service: service.name })
  for (let hasMore = true; hasMore;) {
    requests.push(await askRequest(asker, service.requests[requests.length]))
    hasMore = await asker.prompter.confirm(another, requests.length < service.requests.length)
  }
  return requests
}

async function askRequest (asker: FieldAsker, previous: RequestAnswers | undefined): Promise<RequestAnswers> {
  return {
    name: await asker.text('services.requests.name', previous?.name),
    path: await asker.text('services.requests.path', previous?.path),
    pressing: await asker.yesOrNo('question.services.requests.pressing', previous?.pressing),
    mayRunTwice: await asker.yesOrNo('question.services.requests.mayRunTwice', previous?.mayRunTwice),
    usualRunMs: await asker.number('services.requests.usualRunMs', previous?.usualRunMs),
    answerWithinMs: await asker.number('services.requests.answerWithinMs', previous?.answerWithinMs)
  }
}
