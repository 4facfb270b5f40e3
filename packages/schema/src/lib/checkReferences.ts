/** Checks across documents: names must be unique, and references must resolve. */
import type { Configuration, ConfigurationDocument } from './configuration.js'

/** A reference, name or credential that is invalid in combination with the other documents. */
export interface ReferenceProblem {
  readonly documentIndex: number
  readonly field: string
  readonly message: string
}

/**
 * Finds duplicate names, duplicate credentials and dangling references.
 *
 * @param configuration - documents that each match their schema
 * @returns all problems, empty if there are none
 */
export function checkReferences (configuration: Configuration): ReferenceProblem[] {
  const problems: ReferenceProblem[] = []
  const names = new Set<string>()
  const credentials = new Map<string, string>()
  configuration.documents.forEach((document, documentIndex) => {
    const key = `${document.kind}/${document.name}`
    if (names.has(key)) problems.push({ documentIndex, field: 'name', message: `${key} is defined twice` })
    names.add(key)
    if (document.kind !== 'customer') return
    const other = credentials.get(document.credentialSha256)
    if (other !== undefined) {
      const message = `customer ${other} has the same credential`
      problems.push({ documentIndex, field: 'credentialSha256', message })
    }
    credentials.set(document.credentialSha256, document.name)
  })
  configuration.documents.forEach((document, documentIndex) => {
    for (const { field, target } of referencesOf(document)) {
      if (names.has(target)) continue
      problems.push({ documentIndex, field, message: `${target} is not defined` })
    }
  })
  return problems
}

function referencesOf (document: ConfigurationDocument): Array<{ field: string, target: string }> {
  switch (document.kind) {
    case 'service': {
      const profile = { field: 'profile', target: `profile/${document.profile}` }
      if (document.type === 'plain') return [profile]
      return [profile, { field: 'model', target: `model/${document.model}` }]
    }
    case 'endpoint':
      return document.type === 'engine'
        ? [{ field: 'model', target: `model/${document.model}` }]
        : [{ field: 'service', target: `service/${document.service}` }]
    default:
      return []
  }
}
