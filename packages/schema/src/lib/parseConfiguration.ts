/** Parses configuration files and reports the position of each error. */
import { LineCounter, parseAllDocuments, isNode } from 'yaml'
import type { z } from 'zod'
import type { Configuration, ConfigurationDocument } from './configuration.js'
import {
  customerSchema, endpointSchema, modelSchema, profileSchema, serviceSchema, storeSchema
} from './configuration.js'
import { checkReferences } from './checkReferences.js'
import { fail, succeed, type Result } from './Result.js'

/** An error in a configuration file. */
export interface ConfigurationError {
  readonly line: number
  readonly field: string
  readonly message: string
}

const schemasByKind: ReadonlyMap<string, z.ZodType<ConfigurationDocument>> = new Map<string, z.ZodType<ConfigurationDocument>>([
  ['profile', profileSchema],
  ['service', serviceSchema],
  ['customer', customerSchema],
  ['model', modelSchema],
  ['endpoint', endpointSchema],
  ['store', storeSchema]
])

/**
 * Parses YAML documents and checks each against its schema and its references.
 *
 * @param text - one or more YAML documents
 * @param options - whether references must resolve within the text
 * @returns the configuration, or all errors with line and field
 */
export function parseConfiguration (text: string, options = { checkReferences: true }): Result<Configuration, ConfigurationError[]> {
  const lineCounter = new LineCounter()
  const errors: ConfigurationError[] = []
  const documents: ConfigurationDocument[] = []
  const lines: number[] = []
  for (const yamlDocument of parseAllDocuments(text, { lineCounter })) {
    if (!('contents' in yamlDocument)) break
    const lineAt = (path: readonly PropertyKey[]): number => {
      const node = path.length === 0 ? yamlDocument.contents : yamlDocument.getIn(path, true)
      const offset = isNode(node) ? node.range?.[0] : yamlDocument.contents?.range?.[0]
      return offset === undefined ? 0 : lineCounter.linePos(offset).line
    }
    for (const error of yamlDocument.errors) {
      errors.push({ line: error.linePos?.[0].line ?? 0, field: '', message: error.message })
    }
    if (yamlDocument.errors.length > 0 || yamlDocument.contents === null) continue
    const value: unknown = yamlDocument.toJS()
    const kind = typeof value === 'object' && value !== null && 'kind' in value ? String(value.kind) : ''
    const schema = schemasByKind.get(kind)
    if (schema === undefined) {
      const kinds = [...schemasByKind.keys()].join(', ')
      errors.push({ line: lineAt(['kind']), field: 'kind', message: `must be one of ${kinds}` })
      continue
    }
    const parsed = schema.safeParse(value)
    if (parsed.success) {
      documents.push(parsed.data)
      lines.push(lineAt([]))
      continue
    }
    for (const issue of parsed.error.issues) {
      errors.push({ line: lineAt(issue.path), field: issue.path.join('.'), message: issue.message })
    }
  }
  if (errors.length > 0) return fail(errors)
  const configuration = { documents }
  const problems = options.checkReferences ? checkReferences(configuration) : []
  for (const problem of problems) {
    errors.push({ line: lines[problem.documentIndex] ?? 0, field: problem.field, message: problem.message })
  }
  return errors.length > 0 ? fail(errors) : succeed(configuration)
}
