/** Bounds the log lines about lists that hold unusable items and are read again and again. */

/** An item that can't be used. */
export interface ItemProblem {
  key: string
  /** Changes when the item does. */
  state: string
  reason: string
}

/** Lines about one list. */
const MAX_LINES_PER_LIST = 10
/** Problems remembered. A list from the store has at most as many items. */
const MAX_REMEMBERED = 10_000

/** Selects the problems that have not been logged in their present state. */
export class ProblemLog {
  private readonly logged = new Map<string, string>()

  /** `write` logs one problem. `omitted` is the number of further new problems of the list that are not logged. */
  constructor (private readonly write: (problem: ItemProblem, omitted: number) => void) {}

  /** Logs the new problems of one list. */
  report (problems: readonly ItemProblem[]): void {
    const changed = problems.filter(({ key, state }) => this.logged.get(key) !== state)
    if (this.logged.size + changed.length > MAX_REMEMBERED) this.logged.clear()
    for (const { key, state } of changed.slice(0, MAX_REMEMBERED)) this.logged.set(key, state)
    const written = changed.slice(0, MAX_LINES_PER_LIST)
    const omitted = changed.length - written.length
    written.forEach((problem, index) => { this.write(problem, index === written.length - 1 ? omitted : 0) })
  }
}
