/** Faults of the stand-in store. */
import * as zod from 'zod'

/** Schema of the faults, as accepted by `PUT /v1/faults`. */
export const storeFaultsSchema = zod.strictObject({
  /** Fails every call before it takes effect. */
  down: zod.boolean(),
  /** Delay in milliseconds before each call takes effect. */
  slowMs: zod.number().min(0).max(600_000),
  /** Applies writes but drops their answers. */
  loseAnswers: zod.boolean()
})

/** The faults in force. */
export type StoreFaults = zod.infer<typeof storeFaultsSchema>

/** Returns the default state with all faults off. */
export function createNoFaults (): StoreFaults {
  return { down: false, slowMs: 0, loseAnswers: false }
}
