/** Validation of task results. */
import * as zod from 'zod'

const resultSchema = zod.object({ submissionId: zod.string(), index: zod.number() })

/** Returns whether the text is the stand-in backend server's result of the given task. */
export function isOwnResult (text: string, submissionId: string, index: number): boolean {
  try {
    const result = resultSchema.safeParse(JSON.parse(text))
    return result.success && result.data.submissionId === submissionId && result.data.index === index
  } catch {
    return false
  }
}
