/** Fault switches of the stand-in store. */
import * as zod from 'zod'

/** Schema of the fault switches, as the administration endpoint takes them. */
export const storeFaultsSchema = zod.strictObject({
  /** Refuses every call without effect. */
  down: zod.boolean(),
  /** Delays every call by this time before it takes effect. */
  slowMs: zod.number().min(0).max(600_000),
  /** Lets writes take effect and loses their answers. */
  loseAnswers: zod.boolean()
})

/** The faults in force. */
export type StoreFaults = zod.infer<typeof storeFaultsSchema>

/** Returns switches that are all off. */
export function createNoFaults (): StoreFaults {
  return { down: false, slowMs: 0, loseAnswers: false }
}
