/** Differences between configuration documents. */
import { isDeepStrictEqual } from 'node:util'
import type { ConfigurationDocument } from '@eelgrassmux/schema/configuration'

/** One document that would change. */
export interface DocumentDifference {
  readonly name: string
  readonly change: 'added' | 'changed'
  /** Top-level fields that differ. */
  readonly fields: readonly string[]
}

/**
 * @param current - documents in force
 * @param desired - documents that would be applied
 * @returns what applying would add or change
 */
export function diffDocuments (current: readonly ConfigurationDocument[], desired: readonly ConfigurationDocument[]): DocumentDifference[] {
  const byName = new Map(current.map(document => [`${document.kind}/${document.name}`, document]))
  const differences: DocumentDifference[] = []
  for (const document of desired) {
    const name = `${document.kind}/${document.name}`
    const old = byName.get(name)
    if (old === undefined) {
      differences.push({ name, change: 'added', fields: [] })
      continue
    }
    const before = new Map(Object.entries(old))
    const fields = Object.entries(document).filter(([field, value]) => !isDeepStrictEqual(value, before.get(field))).map(([field]) => field)
    if (fields.length > 0) differences.push({ name, change: 'changed', fields })
  }
  return differences
}

/**
 * @param difference - one difference
 * @returns a line for operators
 */
export function formatDifference (difference: DocumentDifference): string {
  if (difference.change === 'added') return `+ ${difference.name}`
  return `~ ${difference.name}: ${difference.fields.join(', ')}`
}
