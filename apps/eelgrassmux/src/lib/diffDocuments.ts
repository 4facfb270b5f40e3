/** Differences between configuration documents. */
import { isDeepStrictEqual } from 'node:util'
import type { ConfigurationDocument } from '@eelgrassmux/schema/configuration'

/** Change of one document. */
export interface DocumentDifference {
  readonly name: string
  readonly change: 'added' | 'changed'
  /** Top-level fields whose values differ. */
  readonly fields: readonly string[]
}

/**
 * @param current - documents of the current configuration
 * @param desired - documents to apply
 * @returns the documents that would be added or changed
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
 * @param difference - change of one document
 * @returns one line of text for operators
 */
export function formatDifference (difference: DocumentDifference): string {
  if (difference.change === 'added') return `+ ${difference.name}`
  return `~ ${difference.name}: ${difference.fields.join(', ')}`
}
