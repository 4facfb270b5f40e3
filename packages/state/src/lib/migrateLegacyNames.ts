/** Migrates logs and snapshots in which earlier releases stored the quarantine under other names. */
import { z } from 'zod'

const legacyDecisionsSchema = z.object({
  kind: z.literal('judge-requests'),
  judgements: z.array(z.looseObject({ judgement: z.string() }))
})

const legacyExpirySchema = z.object({ kind: z.literal('expire-verdicts') })

const legacyImageSchema = z.looseObject({ verdicts: z.array(z.unknown()) })

/**
 * @param command - as decoded from a log
 * @returns the command under its present name; unchanged if it has that already
 */
export function migrateLegacyCommand (command: unknown): unknown {
  if (legacyExpirySchema.safeParse(command).success) return { kind: 'expire-quarantine' }
  const legacy = legacyDecisionsSchema.safeParse(command)
  if (!legacy.success) return command
  const decisions = legacy.data.judgements.map(({ judgement, ...rest }) => ({ ...rest, decision: judgement }))
  return { kind: 'change-quarantine', decisions }
}

/**
 * @param image - as decoded from a snapshot
 * @returns the image with its present field names; unchanged if it has them already
 */
export function migrateLegacyImage (image: unknown): unknown {
  const legacy = legacyImageSchema.safeParse(image)
  if (!legacy.success) return image
  const { verdicts, ...rest } = legacy.data
  return { ...rest, quarantine: verdicts }
}
