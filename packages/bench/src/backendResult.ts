/** Checks that a result belongs to its task. */
import * as zod from 'zod'

const resultSchema = zod.object({ submissionId: zod.string(), index: zod.number() })

/** Tells whether the text is the stand-in backend's result of the task named. */
export function isOwnResult (text: string, submissionId: string, index: number): boolean {
  try {
    const result = resultSchema.safeParse(JSON.parse(text))
    return result.success && result.data.submissionId === submissionId && result.data.index === index
  } catch {
    return false
  }
}
