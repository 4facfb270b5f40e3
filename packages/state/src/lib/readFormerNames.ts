/** Reads logs and snapshots that hold the quarantine under the names of earlier releases. */
import { z } from 'zod'

const formerDecisionsSchema = z.object({
  kind: z.literal('judge-requests'),
  judgements: z.array(z.looseObject({ judgement: z.string() }))
})

const formerExpirySchema = z.object({ kind: z.literal('expire-verdicts') })

const formerImageSchema = z.looseObject({ verdicts: z.array(z.unknown()) })

/**
 * @param command - as decoded from a log
 * @returns the command under its present name; unchanged if it has that already
 */
export function renameFormerCommand (command: unknown): unknown {
  if (formerExpirySchema.safeParse(command).success) return { kind: 'expire-quarantine' }
  const former = formerDecisionsSchema.safeParse(command)
  if (!former.success) return command
  const decisions = former.data.judgements.map(({ judgement, ...rest }) => ({ ...rest, decision: judgement }))
  return { kind: 'change-quarantine', decisions }
}

/**
 * @param image - as decoded from a snapshot
 * @returns the image with its present field names; unchanged if it has them already
 */
export function renameFormerImage (image: unknown): unknown {
  const former = formerImageSchema.safeParse(image)
  if (!former.success) return image
  const { verdicts, ...rest } = former.data
  return { ...rest, quarantine: verdicts }
}
