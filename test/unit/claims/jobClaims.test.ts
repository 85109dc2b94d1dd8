/** The claims of one entry at its registrars. */
import { expect } from 'chai'
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { flushEventLoop, passTime } from '../../support/simulatedTime.ts'

const { ClaimVerdict, LinkState } = claims
const VALID_MS = 3_000
const MATURE_MS = 60_000

/** A registrar that answers when it is told to. */
class FakeRegistrar implements claims.RegistrarPort {
  readonly messages: claims.ClaimRequests[] = []
  resets = 0
  private unanswered: claims.ClaimRequest[] = []

  constructor (readonly entryId: string, private readonly owner: () => claims.JobClaims) {}

  send (requests: claims.ClaimRequests): void {
    this.messages.push(requests)
    this.unanswered.push(...requests.claims)
  }

  reset (): void {
    this.resets++
  }

  /** Answers the oldest claim, or all, that came in. */
  answer (verdict: claims.ClaimVerdict, count = this.unanswered.length): void {
    const answered = this.unanswered.splice(0, count)
    this.owner().handleAnswers(this.entryId, answered.map(({ jobId, sequence }) => ({ jobId, sequence, verdict, holderId: verdict === ClaimVerdict.Granted ? '' : 'holder' })))
  }

  get claimed (): string[] {
    return this.messages.flatMap(message => message.claims.map(({ jobId }) => jobId))
  }

  get released (): claims.ClaimRelease[] {
    return this.messages.flatMap(({ releases }) => releases)
  }
}

interface Bench {
  timers: settings.FakeTimers
  claims: claims.JobClaims
  /** Registrars of the job `job`, highest rank first, then the others. */
  ranked: FakeRegistrar[]
  open: (registrar: FakeRegistrar, upMs?: number) => void
  /** What the observer was told, oldest first. */
  told: string[]
}

/** Claims of an entry with open links to `count` registrars, none of which is the entry itself. */
function createBench (count = 3): Bench {
  const timers = new settings.FakeTimers()
  const told: string[] = []
  const created = new claims.JobClaims('own', { timers, log: settings.createSilentLog() }, {
    onGranted: jobId => { told.push(`granted ${jobId}`) },
    onHeld: (jobId, holderId) => { told.push(`held ${jobId} ${holderId}`) },
    onSucceeded: (jobId, holderId) => { told.push(`succeeded ${jobId} ${holderId}`) },
    onLost: (jobId, holderId) => { told.push(`lost ${jobId} ${holderId}`) }
  })
  const registrars = Array.from({ length: count }, (_, number) => new FakeRegistrar(`entry-${number}`, () => created))
  const open = (registrar: FakeRegistrar, upMs = MATURE_MS): void => { created.handleOpened(registrar.entryId, registrar, upMs) }
  for (const registrar of registrars) open(registrar)
  created.start()
  return { timers, claims: created, ranked: rank(registrars), open, told }
}

function rank (registrars: readonly FakeRegistrar[]): FakeRegistrar[] {
  const left = [...registrars]
  const ranked: FakeRegistrar[] = []
  while (left.length > 0) {
    const choice = new claims.Registrars(new settings.FakeTimers())
    for (const { entryId } of left) choice.open(entryId, { send: () => {}, reset: () => {} }, MATURE_MS)
    const [first] = choice.choose('job')
    ranked.push(...left.splice(left.findIndex(({ entryId }) => entryId === first!.entryId), 1))
  }
  return ranked
}

/** Replaces the links to both registrars of the job. */
async function reopenAll ({ claims: created, ranked, open }: Bench): Promise<FakeRegistrar[]> {
  const reopened = ranked.slice(0, 2).map(({ entryId }) => new FakeRegistrar(entryId, () => created))
  for (const { entryId } of reopened) created.handleClosed(entryId, LinkState.Reopening)
  for (const registrar of reopened) open(registrar)
  await flushEventLoop()
  return reopened
}

/** A job that both registrars have granted. */
async function createGranted (count = 3): Promise<Bench> {
  const bench = createBench(count)
  bench.claims.claim('job', VALID_MS)
  await flushEventLoop()
  for (const registrar of bench.ranked) registrar.answer(ClaimVerdict.Granted)
  expect(bench.told).to.deep.equal(['granted job'])
  bench.told.length = 0
  return bench
}

describe('claims of an entry', () => {
  before(async () => { await protocol.loadHash() })

  it('grants a job once both registrars have granted it, and asks no other', async () => {
    const { claims: created, ranked, told } = createBench()
    expect(created.claim('job', VALID_MS)).to.equal(false)
    await flushEventLoop()
    expect(ranked.map(({ claimed }) => claimed)).to.deep.equal([['job'], ['job'], []])
    ranked[1]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal([])
    ranked[0]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['granted job'])
  })

  // Guards against an entry that stood still while its claim expired, and starts a job that came in again before it reads who holds it.
  it('grants a granted job that comes in again only once its registrars have confirmed it', async () => {
    const { claims: created, ranked, told } = await createGranted()
    expect(created.claim('job', VALID_MS)).to.equal(false)
    await flushEventLoop()
    ranked[0]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal([])
    ranked[1]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['granted job'])
  })

  it('waits when another entry has got a granted job that comes in again', async () => {
    const { claims: created, timers, ranked, told } = await createGranted()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[0]!.answer(ClaimVerdict.Held)
    ranked[1]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['held job holder'])
    await passTime(timers, claims.HELD_RETRY_MS)
    ranked[0]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['held job holder', 'granted job'])
  })

  it('sends the claims of one turn of the event loop in one message', async () => {
    const { claims: created, ranked } = createBench(2)
    for (let job = 0; job < 50; job++) created.claim(`job-${job}`, VALID_MS)
    await flushEventLoop()
    expect(ranked.map(({ messages }) => messages.length)).to.deep.equal([1, 1])
    expect(ranked[0]!.claimed).to.have.length(50)
  })

  for (const { hasSucceeded, delayMs } of [{ hasSucceeded: false, delayMs: claims.RELEASE_DELAY_MS }, { hasSucceeded: true, delayMs: claims.SUCCESS_RELEASE_DELAY_MS }]) {
    it(`lets releases wait for a claim that they can travel with, for a bounded time, ${hasSucceeded ? 'with' : 'without'} success`, async () => {
      const { claims: created, timers, ranked } = await createGranted()
      created.release('job', hasSucceeded)
      await passTime(timers, delayMs - 10)
      expect(ranked[0]!.released).to.deep.equal([])
      await passTime(timers, 10)
      for (const registrar of ranked.slice(0, 2)) expect(registrar.released).to.deep.equal([{ jobId: 'job', hasSucceeded }])
      expect(ranked[2]!.messages).to.deep.equal([])
      expect(created.size).to.equal(0)
    })
  }

  it('sends a release without success in time although one with success waits', async () => {
    const { claims: created, timers, ranked } = await createGranted()
    created.claim('job-2', VALID_MS)
    await flushEventLoop()
    created.release('job', true)
    created.release('job-2', false)
    await passTime(timers, claims.RELEASE_DELAY_MS)
    expect(ranked.filter(({ released }) => released.some(({ jobId }) => jobId === 'job-2'))).to.have.length(2)
  })

  it('repeats a claim that another entry holds until it is granted, and tells once', async () => {
    const { claims: created, timers, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[1]!.answer(ClaimVerdict.Granted)
    for (let round = 0; round < 3; round++) {
      ranked[0]!.answer(ClaimVerdict.Held)
      await passTime(timers, claims.HELD_RETRY_MS)
    }
    expect(told).to.deep.equal(['held job holder'])
    expect(created.heldCount).to.equal(1)
    ranked[0]!.answer(ClaimVerdict.Granted)
    await flushEventLoop()
    ranked[1]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['held job holder', 'granted job'])
  })

  it('withdraws a claim below the registrar that has refused it, and asks there again only after the first has granted', async () => {
    const { claims: created, timers, ranked } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[1]!.answer(ClaimVerdict.Granted)
    ranked[0]!.answer(ClaimVerdict.Held)
    await passTime(timers, 60)
    expect(ranked[1]!.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
    expect(ranked[1]!.claimed).to.have.length(1)
    ranked[0]!.answer(ClaimVerdict.Granted)
    await flushEventLoop()
    expect(ranked[1]!.claimed).to.have.length(2)
  })

  it('keeps a claim above the registrar that has refused it', async () => {
    const { claims: created, timers, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[0]!.answer(ClaimVerdict.Granted)
    ranked[1]!.answer(ClaimVerdict.Held)
    await passTime(timers, claims.HELD_RETRY_MS)
    ranked[1]!.answer(ClaimVerdict.Granted)
    expect(ranked[0]!.released).to.deep.equal([])
    expect(told).to.deep.equal(['held job holder', 'granted job'])
  })

  it('replaces a silent registrar by the next in rank', async () => {
    const { claims: created, timers, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[1]!.answer(ClaimVerdict.Granted)
    await passTime(timers, claims.ANSWER_TIMEOUT_MS - 10)
    expect(ranked[2]!.claimed).to.deep.equal([])
    await passTime(timers, claims.CHECK_PERIOD_MS + 10)
    expect(ranked[2]!.claimed).to.deep.equal(['job'])
    ranked[2]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['granted job'])
  })

  it('asks a silent registrar again once it answers', async () => {
    const { claims: created, timers, ranked } = createBench()
    created.claim('job', VALID_MS)
    await passTime(timers, 150)
    created.claim('job', VALID_MS)
    ranked[0]!.answer(ClaimVerdict.Granted)
    ranked[1]!.answer(ClaimVerdict.Granted)
    const before = ranked[0]!.claimed.length + ranked[1]!.claimed.length
    for (let job = 0; job < 20; job++) created.claim(`job-${job}`, VALID_MS)
    await flushEventLoop()
    expect(ranked[0]!.claimed.length + ranked[1]!.claimed.length).to.be.above(before + 10)
  })

  it('reopens the link to a registrar that stays silent', async () => {
    const { claims: created, timers, ranked } = createBench()
    created.claim('job', 60_000)
    await passTime(timers, claims.REOPEN_AFTER_MS - 100)
    expect(ranked[0]!.resets).to.equal(0)
    await passTime(timers, 200)
    expect(ranked[0]!.resets).to.be.above(0)
  })

  it('claims at the next registrar when a link closes before the answer', async () => {
    const { claims: created, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[1]!.answer(ClaimVerdict.Granted)
    created.handleClosed(ranked[0]!.entryId, LinkState.Absent)
    await flushEventLoop()
    ranked[2]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['granted job'])
  })

  it('claims at the next registrar when a link closes after the grant', async () => {
    const { claims: created, ranked, told } = await createGranted()
    created.handleClosed(ranked[0]!.entryId, LinkState.Absent)
    await flushEventLoop()
    expect(ranked[2]!.claimed).to.deep.equal(['job'])
    ranked[2]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal([])
  })

  it('waits for a link that reopens, and claims again on it', async () => {
    const { claims: created, open, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[1]!.answer(ClaimVerdict.Granted)
    created.handleClosed(ranked[0]!.entryId, LinkState.Reopening)
    await flushEventLoop()
    expect(ranked[2]!.claimed).to.deep.equal([])
    const reopened = new FakeRegistrar(ranked[0]!.entryId, () => created)
    open(reopened)
    await flushEventLoop()
    reopened.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['granted job'])
  })

  it('claims granted jobs again on a link that reopens', async () => {
    const { claims: created, open, ranked } = await createGranted()
    created.handleClosed(ranked[0]!.entryId, LinkState.Reopening)
    const reopened = new FakeRegistrar(ranked[0]!.entryId, () => created)
    open(reopened)
    await flushEventLoop()
    expect(reopened.claimed).to.deep.equal(['job'])
  })

  it('claims at a young entry beside the registrars of those that do not know it yet', async () => {
    const { claims: created, open, ranked } = createBench()
    const young = ranked[0]!
    open(young, 0)
    created.claim('job', VALID_MS)
    await flushEventLoop()
    expect(ranked.map(({ claimed }) => claimed)).to.deep.equal([['job'], ['job'], ['job']])
  })

  it('extends the claim while runs go on', async () => {
    const { timers, ranked, told } = await createGranted()
    await passTime(timers, 3 * VALID_MS)
    for (const registrar of ranked.slice(0, 2)) {
      expect(registrar.claimed.length).to.be.within(4, 20)
      for (const { claims: sent } of registrar.messages) for (const { validForMs } of sent) expect(validForMs).to.be.within(0, VALID_MS)
    }
    expect(told).to.deep.equal([])
  })

  it('sends each extension with the time that is left', async () => {
    const { claims: created, timers, ranked } = await createGranted()
    await passTime(timers, 1_000)
    created.claim('job', 500)
    await flushEventLoop()
    expect(ranked[0]!.messages.at(-1)!.claims.map(({ validForMs }) => validForMs)).to.deep.equal([VALID_MS - 1_000])
  })

  it('claims a job of a very long deadline for the longest validity', async () => {
    const { claims: created, ranked } = createBench()
    created.claim('job', 10 * claims.MAX_CLAIM_VALIDITY_MS)
    await flushEventLoop()
    expect(ranked[0]!.messages[0]!.claims[0]!.validForMs).to.equal(claims.MAX_CLAIM_VALIDITY_MS)
  })

  it('stops extending a claim that is released', async () => {
    const { claims: created, timers, ranked } = await createGranted()
    created.release('job', false)
    await passTime(timers, 10_000)
    expect(ranked[0]!.claimed).to.deep.equal(['job'])
  })

  it('withdraws a claim that is released before the answer', async () => {
    const { claims: created, timers, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    created.release('job', false)
    await passTime(timers, claims.RELEASE_DELAY_MS)
    for (const registrar of ranked.slice(0, 2)) {
      expect(registrar.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
      registrar.answer(ClaimVerdict.Granted)
    }
    expect(told).to.deep.equal([])
    expect(created.size).to.equal(0)
  })

  it('sends no claim that is released in the same turn of the event loop', async () => {
    const { claims: created, timers, ranked } = createBench()
    created.claim('job', VALID_MS)
    created.release('job', false)
    await passTime(timers, 100)
    for (const { claimed } of ranked) expect(claimed).to.deep.equal([])
  })

  it('does not take a registrar for silent because of claims that were released before the answer', async () => {
    const { claims: created, timers, ranked } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    created.release('job', false)
    for (const registrar of ranked.slice(0, 2)) registrar.answer(ClaimVerdict.Granted)
    await passTime(timers, 2 * claims.REOPEN_AFTER_MS)
    expect(ranked.map(({ resets }) => resets)).to.deep.equal([0, 0, 0])
    created.claim('job', VALID_MS)
    await flushEventLoop()
    expect(ranked.map(({ claimed }) => claimed.length)).to.deep.equal([2, 2, 0])
  })

  it('does not take a registrar for silent because of claims that were withdrawn at it', async () => {
    const { claims: created, timers, ranked } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[0]!.answer(ClaimVerdict.Held)
    ranked[1]!.answer(ClaimVerdict.Granted)
    for (let passedMs = 0; passedMs < 2_000; passedMs += 50) {
      await passTime(timers, 50)
      ranked[0]!.answer(ClaimVerdict.Held)
    }
    expect(ranked.map(({ claimed }) => claimed.length > 0)).to.deep.equal([true, true, false])
    expect(ranked.map(({ resets }) => resets)).to.deep.equal([0, 0, 0])
  })

  it('reopens the link to a silent registrar also when no claim waits for it any more', async () => {
    const { claims: created, timers, ranked } = createBench()
    created.claim('job', VALID_MS)
    await passTime(timers, 200)
    created.release('job', false)
    await passTime(timers, claims.REOPEN_AFTER_MS)
    expect(ranked[0]!.resets).to.be.above(0)
  })

  it('sends no extension of a claim that is released in the same turn of the event loop', async () => {
    const { claims: created, timers, ranked } = await createGranted()
    created.claim('job', VALID_MS)
    created.claim('job', VALID_MS)
    created.release('job', false)
    await passTime(timers, 100)
    expect(ranked[0]!.claimed).to.deep.equal(['job'])
    expect(ranked[0]!.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
  })

  it('does not take the answer to an earlier claim for one to the claim made after its release', async () => {
    const { claims: created, timers, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    created.release('job', false)
    await passTime(timers, 20)
    created.claim('job', VALID_MS)
    await flushEventLoop()
    for (const registrar of ranked.slice(0, 2)) registrar.answer(ClaimVerdict.Granted, 1)
    expect(told).to.deep.equal([])
    for (const registrar of ranked.slice(0, 2)) registrar.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['granted job'])
  })

  it('does not grant a job at once that was lost and comes in again before its runs have ended', async () => {
    const bench = await createGranted()
    const { claims: created, timers, told } = bench
    const [first, second] = await reopenAll(bench)
    for (const registrar of [first!, second!]) registrar.answer(ClaimVerdict.Held)
    expect(created.claim('job', VALID_MS)).to.equal(false)
    await passTime(timers, claims.HELD_RETRY_MS)
    first!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['lost job holder'])
    await flushEventLoop()
    second!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['lost job holder', 'granted job'])
  })

  it('keeps the claims of a lost job at the other registrars until its runs have ended', async () => {
    const { claims: created, timers, open, ranked } = await createGranted()
    created.handleClosed(ranked[0]!.entryId, LinkState.Reopening)
    const reopened = new FakeRegistrar(ranked[0]!.entryId, () => created)
    open(reopened)
    await flushEventLoop()
    for (let passedMs = 0; passedMs < 2 * VALID_MS; passedMs += 50) {
      reopened.answer(ClaimVerdict.Held)
      await passTime(timers, 50)
    }
    expect(ranked[1]!.released).to.deep.equal([])
    expect(ranked[1]!.claimed.length).to.be.above(1)
    created.release('job', false)
    await passTime(timers, claims.RELEASE_DELAY_MS)
    expect(ranked[1]!.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
  })

  it('does not wait for a silent registrar while its link is opened anew', async () => {
    const { claims: created, timers, ranked } = createBench()
    created.claim('job', 60_000)
    await flushEventLoop()
    ranked[1]!.answer(ClaimVerdict.Granted)
    await passTime(timers, 110)
    ranked[2]!.answer(ClaimVerdict.Granted)
    created.handleClosed(ranked[0]!.entryId, LinkState.Reopening)
    created.release('job', false)
    created.claim('job', VALID_MS)
    await flushEventLoop()
    expect(ranked[2]!.claimed).to.have.length(2)
  })

  it('claims nothing before the start, and all jobs that wait at the start', async () => {
    const timers = new settings.FakeTimers()
    const told: string[] = []
    const created: claims.JobClaims = new claims.JobClaims('own', { timers, log: settings.createSilentLog() }, { onGranted: jobId => { told.push(jobId) }, onHeld: () => {}, onSucceeded: () => {}, onLost: () => {} })
    const only = new FakeRegistrar('entry-0', () => created)
    created.claim('job', VALID_MS)
    created.handleOpened(only.entryId, only, MATURE_MS)
    await passTime(timers, 100)
    expect(only.messages).to.deep.equal([])
    expect(told).to.deep.equal([])
    created.start()
    await flushEventLoop()
    only.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['job'])
  })

  it('ends a claim on a job that has succeeded elsewhere', async () => {
    const { claims: created, timers, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[0]!.answer(ClaimVerdict.Succeeded)
    ranked[1]!.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['succeeded job holder'])
    expect(created.size).to.equal(0)
    await passTime(timers, 100)
    expect(ranked[1]!.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
  })

  it('does not grant a refused claim while the registrar that refused it is unreachable', async () => {
    const { claims: created, timers, open, ranked, told } = createBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    ranked[0]!.answer(ClaimVerdict.Held)
    created.handleClosed(ranked[0]!.entryId, LinkState.Reopening)
    created.handleClosed(ranked[0]!.entryId, LinkState.Absent)
    for (let round = 0; round < 3; round++) {
      await passTime(timers, claims.HELD_RETRY_MS)
      for (const registrar of ranked.slice(1)) registrar.answer(ClaimVerdict.Granted)
    }
    expect(told).to.deep.equal(['held job holder'])
    const reopened = new FakeRegistrar(ranked[0]!.entryId, () => created)
    open(reopened)
    await flushEventLoop()
    reopened.answer(ClaimVerdict.Granted)
    await flushEventLoop()
    for (const registrar of ranked.slice(1)) registrar.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['held job holder', 'granted job'])
  })

  it('tells that a granted job was lost when the last of its registrars names another holder, and not before', async () => {
    const bench = await createGranted()
    const { told } = bench
    const [first, second] = await reopenAll(bench)
    second!.answer(ClaimVerdict.Granted)
    first!.answer(ClaimVerdict.Held)
    expect(told).to.deep.equal([])
    const [third, fourth] = await reopenAll(bench)
    for (const registrar of [third!, fourth!]) registrar.answer(ClaimVerdict.Held)
    expect(told).to.deep.equal(['lost job holder'])
  })

  it('grants a job at once, and counts it as unconfirmed, when the entry is its own only registrar', async () => {
    const told: string[] = []
    const timers = new settings.FakeTimers()
    const table = new claims.ClaimTable(timers)
    const created: claims.JobClaims = new claims.JobClaims('own', { timers, log: settings.createSilentLog() }, { onGranted: jobId => { told.push(jobId) }, onHeld: () => {}, onSucceeded: () => {}, onLost: () => {} })
    created.handleOpened('own', { send: requests => { created.handleAnswers('own', table.apply({ entryId: 'own', incarnation: 'life' }, requests)) }, reset: () => {} }, MATURE_MS)
    created.start()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    expect(told).to.deep.equal(['job'])
    expect(created.unconfirmedCount).to.equal(1)
  })
})

interface OwnBench {
  timers: settings.FakeTimers
  claims: claims.JobClaims
  other: FakeRegistrar
  told: string[]
}

/** Claims of an entry that is a registrar itself, beside one other entry. */
function createOwnBench (): OwnBench {
  const timers = new settings.FakeTimers()
  const told: string[] = []
  const table = new claims.ClaimTable(timers)
  const created: claims.JobClaims = new claims.JobClaims('own', { timers, log: settings.createSilentLog() }, { onGranted: jobId => { told.push(`granted ${jobId}`) }, onHeld: () => {}, onSucceeded: () => {}, onLost: () => {} })
  const other = new FakeRegistrar('entry-0', () => created)
  created.handleOpened('own', { send: requests => { created.handleAnswers('own', table.apply({ entryId: 'own', incarnation: 'life' }, requests)) }, reset: () => {} }, MATURE_MS)
  created.handleOpened(other.entryId, other, MATURE_MS)
  created.start()
  return { timers, claims: created, other, told }
}

describe('claims that no other entry has confirmed', () => {
  before(async () => { await protocol.loadHash() })

  // Guards against two entries that each grant themselves a job while the links between them are away.
  it('wait while the link to the only other entry is away, and are granted on the next one', async () => {
    const { claims: created, timers, other, told } = createOwnBench()
    created.handleClosed(other.entryId, LinkState.Absent)
    created.claim('job', VALID_MS)
    await passTime(timers, 10_000)
    expect(told).to.deep.equal([])
    created.handleOpened(other.entryId, other, MATURE_MS)
    await flushEventLoop()
    other.answer(ClaimVerdict.Granted)
    expect(told).to.deep.equal(['granted job'])
    expect(created.unconfirmedCount).to.equal(0)
  })

  it('wait while the only other entry is silent', async () => {
    const { claims: created, timers, other, told } = createOwnBench()
    created.claim('job', VALID_MS)
    await passTime(timers, 5_000)
    expect(told).to.deep.equal([])
    other.answer(ClaimVerdict.Granted)
    await flushEventLoop()
    expect(told).to.deep.equal(['granted job'])
  })

  it('wait when a granted job comes in again after the link to the only other entry was lost', async () => {
    const { claims: created, timers, other, told } = createOwnBench()
    created.claim('job', VALID_MS)
    await flushEventLoop()
    other.answer(ClaimVerdict.Granted)
    created.handleClosed(other.entryId, LinkState.Absent)
    created.claim('job', VALID_MS)
    await passTime(timers, 1_000)
    expect(told).to.deep.equal(['granted job'])
  })

  // Guards against an entry that serves nobody because the others have ended.
  it('are granted, and counted, once the only other entry is known to have ended', async () => {
    const { claims: created, other, told } = createOwnBench()
    created.handleClosed(other.entryId, LinkState.Absent)
    created.claim('job', VALID_MS)
    await flushEventLoop()
    created.handleClosed(other.entryId, LinkState.Ended)
    await flushEventLoop()
    expect(told).to.deep.equal(['granted job'])
    expect(created.unconfirmedCount).to.equal(1)
  })

  it('count as not confirmable after a second without an entry that answers, until one does', async () => {
    const { claims: created, timers, other } = createOwnBench()
    created.handleClosed(other.entryId, LinkState.Reopening)
    await passTime(timers, claims.UNCONFIRMED_LIMIT_MS - 10)
    expect(created.canConfirm).to.equal(true)
    await passTime(timers, 20)
    expect(created.canConfirm).to.equal(false)
    created.handleOpened(other.entryId, other, MATURE_MS)
    expect(created.canConfirm).to.equal(true)
    created.claim('job', VALID_MS)
    await passTime(timers, claims.ANSWER_TIMEOUT_MS + 2 * claims.CHECK_PERIOD_MS + claims.UNCONFIRMED_LIMIT_MS)
    expect(created.canConfirm).to.equal(false)
    other.answer(ClaimVerdict.Granted)
    expect(created.canConfirm).to.equal(true)
    created.handleClosed(other.entryId, LinkState.Ended)
    await passTime(timers, 2 * claims.UNCONFIRMED_LIMIT_MS)
    expect(created.canConfirm).to.equal(true)
  })
})

describe('two entries that claim the same job at the same time', () => {
  before(async () => { await protocol.loadHash() })

  for (const order of [[0, 1], [1, 0]]) {
    it(`do not block each other, with messages in the order ${order.join(' ')}`, async () => {
      const timers = new settings.FakeTimers()
      const tables = ['entry-a', 'entry-b'].map(entryId => ({ entryId, table: new claims.ClaimTable(timers) }))
      timers.advance(claims.RECLAIM_MS)
      const granted: number[] = []
      const claimants = [0, 1].map(number => {
        const claimant = { entryId: `claimant-${number}`, incarnation: `life-${number}` }
        const created: claims.JobClaims = new claims.JobClaims(claimant.entryId, { timers, log: settings.createSilentLog() }, { onGranted: () => { granted.push(number) }, onHeld: () => {}, onSucceeded: () => {}, onLost: () => {} })
        // Each claimant is nearer to another registrar, so that each gets one of them first.
        for (const [index, { entryId, table }] of tables.entries()) {
          const pathMs = order[number] === index ? 1 : 12
          created.handleOpened(entryId, { send: requests => { timers.after(pathMs, () => { const answers = table.apply(claimant, requests); timers.after(pathMs, () => { created.handleAnswers(entryId, answers) }) }) }, reset: () => {} }, MATURE_MS)
        }
        created.start()
        return created
      })
      for (const claimant of claimants) claimant.claim('job', VALID_MS)
      await passTime(timers, 300)
      expect(granted).to.have.length(1)
      const [holder] = granted
      claimants[holder!]!.release('job', false)
      await passTime(timers, 300)
      expect(granted).to.deep.equal([holder, 1 - holder!])
    })
  }
})
